package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.fleet.CallerClient;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/**
 * Limits with loans between hosts, beside a static division: refusals within the rate when all demand comes to one data
 * centre, and during a partition; tokens over the limit while hosts are cut off, frozen and killed.
 */
final class LimitsMeasurement implements Measurement {

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final EngineOptions FAST_ENGINE = new EngineOptions(500, 100, 0, 0, 64, 300);
    private static final long RATE = 3000;
    private static final long BURST = 6000;
    private static final int OUTPUT_TOKENS = 57;
    private static final int REQUEST_TOKENS = 60;
    private static final double DEMAND = 0.9;
    private static final int FILL_SECONDS = 6;
    private static final String PROMPT = "hello there!";

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        measure(work.resolve("loans"), true, seed, result.putObject("loans"));
        measure(work.resolve("static"), false, seed, result.putObject("static_division"));
        new FairnessPhase()
                .run(Files.createDirectories(work.resolve("fairness")), JAVA_OPTIONS, result.putObject("hot_account"));
    }

    private static void measure(Path work, boolean borrowing, long seed, ObjectNode row)
            throws IOException, InterruptedException {
        GeneratedFleet files = new GeneratedFleet(Files.createDirectories(work.resolve("example")));
        files.regions(3, 6).engines(500, "r0-a", "r1-a", "r2-a").account("caller", RATE, BURST);
        ObjectNode settings = new ObjectMapper().createObjectNode().put("borrowing", borrowing);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, FAST_ENGINE, JAVA_OPTIONS, settings)) {
            deployment.setDelayBetweenDataCentres(55, "r0-a");
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(FILL_SECONDS);
            row.put("refused_within_rate", demandAtOne(deployment, key, DEMAND * RATE, 12));
            TimeUnit.SECONDS.sleep(FILL_SECONDS);
            cutOff(deployment, true);
            TimeUnit.SECONDS.sleep(3);
            row.put("refused_within_own_share_in_partition", demandAtOne(deployment, key, DEMAND * RATE / 3, 8));
            cutOff(deployment, false);
            row.put("overspent_tokens", overspent(deployment, key, new Random(seed)));
        }
    }

    private static void cutOff(Deployment deployment, boolean cut) {
        deployment.proxy().setPartitioned("r0-a", "r1-a", cut);
        deployment.proxy().setPartitioned("r0-a", "r2-a", cut);
    }

    /** Returns the share of requests that were refused, with all of them at the hosts of one data centre. */
    private static double demandAtOne(Deployment deployment, String key, double tokensPerSecond, int seconds)
            throws InterruptedException {
        List<Call> calls = Collections.synchronizedList(new ArrayList<>());
        List<HostProcess> hosts = deployment.hostsIn("r0-a");
        CallerClient client = new CallerClient();
        OpenLoop.run(
                tokensPerSecond / REQUEST_TOKENS,
                seconds,
                index -> calls.add(call(client, hosts.get(index % hosts.size()), key)));
        long refused = calls.stream().filter(call -> call.status != 200).count();
        return Math.round(refused * 10_000.0 / calls.size()) / 10_000.0;
    }

    private static Call call(CallerClient client, HostProcess host, String key) {
        long sent = System.nanoTime();
        int status = 0;
        try {
            HttpResponse<String> answer = client.send(CallerClient.Call.post(
                    host.callerUri().resolve("/v1/chat/completions"),
                    key,
                    CallerClient.chatBody("m", PROMPT, OUTPUT_TOKENS, false)));
            status = answer.statusCode();
        } catch (IOException ignored) {
            // The host was killed; whether the request ran is not known, so it is not counted as admitted.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new Call(sent, System.nanoTime(), status);
    }

    /** Floods all hosts at three times the rate while one is frozen, one is killed and a region is cut off. */
    private static long overspent(Deployment deployment, String key, Random random)
            throws IOException, InterruptedException {
        List<Call> calls = Collections.synchronizedList(new ArrayList<>());
        List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
        Thread trouble = new Thread(() -> makeTrouble(deployment, hosts, random));
        trouble.start();
        CallerClient client = new CallerClient();
        OpenLoop.run(
                3.0 * RATE / REQUEST_TOKENS,
                14,
                index -> calls.add(call(client, hosts.get(index % hosts.size()), key)));
        trouble.join();
        return worstExcess(calls.stream().filter(call -> call.status == 200).toList());
    }

    private static void makeTrouble(Deployment deployment, List<HostProcess> hosts, Random random) {
        try {
            HostProcess frozen = hosts.get(random.nextInt(hosts.size()));
            HostProcess killed = hosts.get((hosts.indexOf(frozen) + 1) % hosts.size());
            TimeUnit.SECONDS.sleep(2);
            cutOff(deployment, true);
            frozen.suspend();
            TimeUnit.SECONDS.sleep(3);
            frozen.resume();
            killed.kill();
            killed.start();
            TimeUnit.SECONDS.sleep(3);
            cutOff(deployment, false);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns by how much the tokens that were certainly admitted in some window exceed what the limit allows. */
    private static long worstExcess(List<Call> admitted) {
        long worst = 0;
        for (Call first : admitted) {
            List<Call> within = admitted.stream()
                    .filter(call -> call.sent >= first.sent)
                    .sorted((a, b) -> Long.compare(a.answered, b.answered))
                    .toList();
            for (int i = 0; i < within.size(); i++) {
                double seconds = (within.get(i).answered - first.sent) / 1e9;
                long tokens = (i + 1L) * REQUEST_TOKENS;
                worst = Math.max(worst, (long) (tokens - RATE * seconds - BURST));
            }
        }
        return worst;
    }

    private record Call(long sent, long answered, int status) {}
}
