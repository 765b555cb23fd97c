package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanlane.coordination.claim.BackOff;
import org.toucanlane.coordination.claim.ClaimLog;
import org.toucanlane.coordination.claim.ClaimResult;
import org.toucanlane.platform.store.HttpKeyValueStore;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.fleet.CallerClient;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;
import org.toucanlane.standins.plain.PlainServer;
import org.toucanlane.standins.platform.PlatformServer;

/**
 * Measures one-time actions: the claim throughput with a store that allows 300 writes per second, the latency that a
 * claim adds to a call, and how many actions run twice or are falsely reported as not run while services and the store
 * drop responses and hosts are killed.
 */
final class OneTimeActionMeasurement implements Measurement {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final int CLAIM_OWNERS = 8;
    private static final int SHARDS = 16;
    private static final int OFFERED_CLAIMS_PER_SECOND = 3000;
    private static final int LOAD_SECONDS = 5;
    private static final int ACTIONS = 150;
    private static final int ATTEMPTS_PER_ACTION = 3;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        measureClaimThroughput(result.putObject("claim_log"));
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        generator.regions(2, 4).plainService("r0-a", "r1-a").account("caller", 1_000_000, 1_000_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment =
                Deployment.prepare(generator.root(), run, EngineOptions.defaults(), JAVA_OPTIONS)) {
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(3);
            measureClaimOverhead(deployment, key, result.putObject("added_by_a_claim"));
            measureUnderFaults(deployment, key, new Random(seed), result.putObject("under_faults"));
        }
    }

    private static void measureClaimThroughput(ObjectNode row) throws IOException, InterruptedException {
        LatencyHistogram latencies = new LatencyHistogram();
        AtomicInteger granted = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        ExecutorService writers = Executors.newCachedThreadPool();
        try (PlatformServer platform = PlatformServer.start(0);
                HttpKeyValueStore store = HttpKeyValueStore.create(
                        URI.create("http://127.0.0.1:" + platform.port()), Duration.ofSeconds(2))) {
            List<ClaimLog> claimLogs = new ArrayList<>();
            for (int i = 0; i < CLAIM_OWNERS; i++) {
                claimLogs.add(new ClaimLog(
                        store,
                        "host-" + i,
                        SHARDS,
                        Duration.ofHours(1),
                        writers,
                        System::currentTimeMillis,
                        BackOff.exponential(10, 400)));
            }
            long started = System.nanoTime();
            OpenLoopGenerator.run(OFFERED_CLAIMS_PER_SECOND, LOAD_SECONDS, index -> {
                long sent = System.nanoTime();
                ByteString key = ClaimLog.keyOf("account", Integer.toString(index));
                claimLogs.get(index % CLAIM_OWNERS).claim(key, key).whenComplete((claimResult, failure) -> {
                    latencies.recordNanos(System.nanoTime() - sent);
                    (claimResult instanceof ClaimResult.Granted ? granted : failed).incrementAndGet();
                });
            });
            while (granted.get() + failed.get() < OFFERED_CLAIMS_PER_SECOND * LOAD_SECONDS
                    && System.nanoTime() - started < TimeUnit.SECONDS.toNanos(60)) {
                Thread.sleep(20);
            }
            double seconds = (System.nanoTime() - started) / 1e9;
            row.put("store_writes_per_s_allowed", 300).put("offered_per_s", OFFERED_CLAIMS_PER_SECOND);
            row.put("granted_per_s", Math.round(granted.get() / seconds));
            row.put("failed", failed.get());
            latencies.writeTo(row, "claim");
        } finally {
            writers.shutdownNow();
        }
    }

    private static HttpResponse<String> post(
            CallerClient client, HostProcess host, String key, String path, String idempotencyKey)
            throws IOException, InterruptedException {
        URI address = host.callerUri().resolve("/services/desk" + path);
        return client.send(CallerClient.Call.post(address, key, "{}").withIdempotencyKey(idempotencyKey));
    }

    private static void measureClaimOverhead(Deployment deployment, String key, ObjectNode row)
            throws IOException, InterruptedException {
        CallerClient client = new CallerClient();
        HostProcess host = deployment.hosts().get("h0");
        LatencyHistogram oneTimeLatencies = new LatencyHistogram();
        LatencyHistogram idempotentLatencies = new LatencyHistogram();
        for (int i = 0; i < 400; i++) {
            boolean isAction = i % 2 == 0;
            long sent = System.nanoTime();
            post(client, host, key, isAction ? "/actions/a" + i : "/notes/n" + i, "added-" + i);
            if (i >= 100) {
                (isAction ? oneTimeLatencies : idempotentLatencies).recordNanos(System.nanoTime() - sent);
            }
        }
        idempotentLatencies.writeTo(row, "idempotent");
        oneTimeLatencies.writeTo(row, "one_time");
    }

    private static void measureUnderFaults(Deployment deployment, String key, Random random, ObjectNode row)
            throws IOException, InterruptedException {
        CallerClient client = new CallerClient();
        List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
        Map<String, List<String>> outcomes = new ConcurrentHashMap<>();
        for (int i = 0; i < ACTIONS; i++) {
            String name = "f" + i;
            injectFaults(deployment, hosts, random, i);
            for (int repeat = 0; repeat < ATTEMPTS_PER_ACTION; repeat++) {
                HostProcess host = hosts.get(random.nextInt(hosts.size()));
                outcomes.computeIfAbsent(name, action -> new ArrayList<>()).add(sendAction(client, host, key, name));
            }
        }
        writeOutcomes(outcomes, executionCounts(deployment), row);
    }

    private static void injectFaults(Deployment deployment, List<HostProcess> hosts, Random random, int index)
            throws IOException, InterruptedException {
        if (random.nextInt(3) == 0) {
            for (PlainServer plain : deployment.plainServices().values()) {
                deployment.get(URI.create("http://127.0.0.1:" + plain.port() + "/faults?loseAnswers=1"));
            }
        }
        if (random.nextInt(3) == 0) {
            deployment.post(deployment.platformAddress().resolve("/faults"), "{\"loseAnswers\":1}");
        }
        if (index % 50 == 25) {
            HostProcess host = hosts.get(random.nextInt(hosts.size()));
            host.kill();
            host.start();
        }
    }

    private static String sendAction(CallerClient client, HostProcess host, String key, String name)
            throws InterruptedException {
        try {
            HttpResponse<String> response = post(client, host, key, "/actions/" + name, name);
            return response.statusCode() == 200
                    ? "answered"
                    : JSON.readTree(response.body()).path("error").path("ran").asText("none");
        } catch (IOException e) {
            return "no answer";
        }
    }

    private static Map<String, Integer> executionCounts(Deployment deployment)
            throws IOException, InterruptedException {
        Map<String, Integer> executions = new ConcurrentHashMap<>();
        for (PlainServer plain : deployment.plainServices().values()) {
            JsonNode stats = JSON.readTree(deployment
                    .get(URI.create("http://127.0.0.1:" + plain.port() + "/stats"))
                    .body());
            stats.properties()
                    .forEach(field ->
                            executions.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
        }
        return executions;
    }

    private static void writeOutcomes(
            Map<String, List<String>> outcomes, Map<String, Integer> executions, ObjectNode row) {
        int ranTwice = 0;
        int falseNotRun = 0;
        int unknown = 0;
        int requests = 0;
        for (Map.Entry<String, List<String>> entry : outcomes.entrySet()) {
            int executionCount = executions.getOrDefault("/actions/" + entry.getKey(), 0);
            ranTwice += executionCount > 1 ? 1 : 0;
            boolean answered = entry.getValue().contains("answered");
            boolean ranUnanswered = executionCount > 0 && !answered;
            String lastOutcome = entry.getValue().get(ATTEMPTS_PER_ACTION - 1);
            falseNotRun += ranUnanswered && lastOutcome.equals("not_run") ? 1 : 0;
            unknown += (int) entry.getValue().stream().filter("unknown"::equals).count();
            requests += entry.getValue().size();
        }
        row.put("actions", outcomes.size()).put("requests", requests);
        row.put("ran_twice", ranTwice).put("false_not_run", falseNotRun);
        row.put("share_unknown", Math.round(unknown * 1000.0 / requests) / 1000.0);
    }
}
