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
 * Measures token limits with loans between hosts, compared with a static division of each limit. Reports the fraction
 * of requests rejected below the rate when all requests go to one data centre, with and without a network partition, and
 * the tokens admitted above the limit while hosts are partitioned, paused and killed.
 */
final class RateLimitMeasurement implements Measurement {

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final EngineOptions FAST_ENGINE = new EngineOptions(500, 100, 0, 0, 64, 300);
    private static final long TOKENS_PER_SECOND = 3000;
    private static final long BURST_TOKENS = 6000;
    private static final int OUTPUT_TOKENS = 57;
    private static final int TOKENS_PER_REQUEST = 60;
    private static final double DEMAND_FRACTION = 0.9;
    private static final int BUCKET_FILL_SECONDS = 6;
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
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        generator
                .regions(3, 6)
                .modelService(500, "r0-a", "r1-a", "r2-a")
                .account("caller", TOKENS_PER_SECOND, BURST_TOKENS);
        ObjectNode settings = new ObjectMapper().createObjectNode().put("borrowing", borrowing);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(generator.root(), run, FAST_ENGINE, JAVA_OPTIONS, settings)) {
            deployment.setDelayBetweenDataCentres(55, "r0-a");
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(BUCKET_FILL_SECONDS);
            row.put(
                    "refused_within_rate",
                    measureRejectedFraction(deployment, key, DEMAND_FRACTION * TOKENS_PER_SECOND, 12));
            TimeUnit.SECONDS.sleep(BUCKET_FILL_SECONDS);
            setPartitioned(deployment, true);
            TimeUnit.SECONDS.sleep(3);
            row.put(
                    "refused_within_own_share_in_partition",
                    measureRejectedFraction(deployment, key, DEMAND_FRACTION * TOKENS_PER_SECOND / 3, 8));
            setPartitioned(deployment, false);
            row.put("overspent_tokens", measureOverspend(deployment, key, new Random(seed)));
        }
    }

    private static void setPartitioned(Deployment deployment, boolean partitioned) {
        deployment.proxy().setPartitioned("r0-a", "r1-a", partitioned);
        deployment.proxy().setPartitioned("r0-a", "r2-a", partitioned);
    }

    /** Sends all requests to the hosts of one data centre and returns the fraction that was not answered with 200. */
    private static double measureRejectedFraction(
            Deployment deployment, String key, double tokensPerSecond, int seconds) throws InterruptedException {
        List<TimedCall> calls = Collections.synchronizedList(new ArrayList<>());
        List<HostProcess> hosts = deployment.hostsIn("r0-a");
        CallerClient client = new CallerClient();
        OpenLoopGenerator.run(
                tokensPerSecond / TOKENS_PER_REQUEST,
                seconds,
                index -> calls.add(sendRequest(client, hosts.get(index % hosts.size()), key)));
        long rejected = calls.stream().filter(call -> call.statusCode != 200).count();
        return Math.round(rejected * 10_000.0 / calls.size()) / 10_000.0;
    }

    private static TimedCall sendRequest(CallerClient client, HostProcess host, String key) {
        long sent = System.nanoTime();
        int status = 0;
        try {
            HttpResponse<String> response = client.send(CallerClient.Call.post(
                    host.callerUri().resolve("/v1/chat/completions"),
                    key,
                    CallerClient.chatBody("m", PROMPT, OUTPUT_TOKENS, false)));
            status = response.statusCode();
        } catch (IOException ignored) {
            // The host was killed. It is unknown whether the request ran, so it does not count as admitted.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return new TimedCall(sent, System.nanoTime(), status);
    }

    /**
     * Sends three times the rate to all hosts while one host is paused, one is killed and one region is partitioned,
     * and returns the number of tokens admitted above the limit.
     */
    private static long measureOverspend(Deployment deployment, String key, Random random)
            throws IOException, InterruptedException {
        List<TimedCall> calls = Collections.synchronizedList(new ArrayList<>());
        List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
        Thread faultInjector = new Thread(() -> injectFaults(deployment, hosts, random));
        faultInjector.start();
        CallerClient client = new CallerClient();
        OpenLoopGenerator.run(
                3.0 * TOKENS_PER_SECOND / TOKENS_PER_REQUEST,
                14,
                index -> calls.add(sendRequest(client, hosts.get(index % hosts.size()), key)));
        faultInjector.join();
        return maxOverspend(
                calls.stream().filter(call -> call.statusCode == 200).toList());
    }

    private static void injectFaults(Deployment deployment, List<HostProcess> hosts, Random random) {
        try {
            HostProcess frozen = hosts.get(random.nextInt(hosts.size()));
            HostProcess killed = hosts.get((hosts.indexOf(frozen) + 1) % hosts.size());
            TimeUnit.SECONDS.sleep(2);
            setPartitioned(deployment, true);
            frozen.suspend();
            TimeUnit.SECONDS.sleep(3);
            frozen.resume();
            killed.kill();
            killed.start();
            TimeUnit.SECONDS.sleep(3);
            setPartitioned(deployment, false);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the largest number of tokens above the limit over all time windows. A window counts only the requests
     * that were both sent and answered in it, which were certainly admitted in it.
     */
    private static long maxOverspend(List<TimedCall> admitted) {
        long maxExcess = 0;
        for (TimedCall first : admitted) {
            List<TimedCall> laterCalls = admitted.stream()
                    .filter(call -> call.sentNanos >= first.sentNanos)
                    .sorted((a, b) -> Long.compare(a.answeredNanos, b.answeredNanos))
                    .toList();
            for (int i = 0; i < laterCalls.size(); i++) {
                double seconds = (laterCalls.get(i).answeredNanos - first.sentNanos) / 1e9;
                long tokens = (i + 1L) * TOKENS_PER_REQUEST;
                maxExcess = Math.max(maxExcess, (long) (tokens - TOKENS_PER_SECOND * seconds - BURST_TOKENS));
            }
        }
        return maxExcess;
    }

    private record TimedCall(long sentNanos, long answeredNanos, int statusCode) {}
}
