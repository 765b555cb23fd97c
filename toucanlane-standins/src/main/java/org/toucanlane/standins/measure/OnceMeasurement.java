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
 * One-time actions: what a store of 300 writes a second carries, what a claim adds to a call, and what runs twice or is
 * wrongly called not run while services and the store lose answers and hosts are killed.
 */
final class OnceMeasurement implements Measurement {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final int OWNERS = 8;
    private static final int SHARDS = 16;
    private static final int OFFERED_PER_SECOND = 3000;
    private static final int OFFER_SECONDS = 5;
    private static final int ACTIONS = 150;
    private static final int REPEATS = 3;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        claims(result.putObject("claim_log"));
        GeneratedFleet files = new GeneratedFleet(Files.createDirectories(work.resolve("example")));
        files.regions(2, 4).plains("r0-a", "r1-a").account("caller", 1_000_000, 1_000_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, EngineOptions.defaults(), JAVA_OPTIONS)) {
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(3);
            added(deployment, key, result.putObject("added_by_a_claim"));
            faults(deployment, key, new Random(seed), result.putObject("under_faults"));
        }
    }

    private static void claims(ObjectNode row) throws IOException, InterruptedException {
        Quantiles times = new Quantiles();
        AtomicInteger granted = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        ExecutorService writers = Executors.newCachedThreadPool();
        try (PlatformServer platform = PlatformServer.start(0);
                HttpKeyValueStore store = HttpKeyValueStore.at(
                        URI.create("http://127.0.0.1:" + platform.port()), Duration.ofSeconds(2))) {
            List<ClaimLog> logs = new ArrayList<>();
            for (int i = 0; i < OWNERS; i++) {
                logs.add(new ClaimLog(
                        store,
                        "host-" + i,
                        SHARDS,
                        Duration.ofHours(1),
                        writers,
                        System::currentTimeMillis,
                        BackOff.exponential(10, 400)));
            }
            long started = System.nanoTime();
            OpenLoop.run(OFFERED_PER_SECOND, OFFER_SECONDS, index -> {
                long sent = System.nanoTime();
                ByteString key = ClaimLog.keyOf("account", Integer.toString(index));
                logs.get(index % OWNERS).claim(key, key).whenComplete((answer, failure) -> {
                    times.recordNanos(System.nanoTime() - sent);
                    (answer instanceof ClaimResult.Granted ? granted : failed).incrementAndGet();
                });
            });
            while (granted.get() + failed.get() < OFFERED_PER_SECOND * OFFER_SECONDS
                    && System.nanoTime() - started < TimeUnit.SECONDS.toNanos(60)) {
                Thread.sleep(20);
            }
            double seconds = (System.nanoTime() - started) / 1e9;
            row.put("store_writes_per_s_allowed", 300).put("offered_per_s", OFFERED_PER_SECOND);
            row.put("granted_per_s", Math.round(granted.get() / seconds));
            row.put("failed", failed.get());
            times.writeTo(row, "claim");
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

    private static void added(Deployment deployment, String key, ObjectNode row)
            throws IOException, InterruptedException {
        CallerClient client = new CallerClient();
        HostProcess host = deployment.hosts().get("h0");
        Quantiles action = new Quantiles();
        Quantiles note = new Quantiles();
        for (int i = 0; i < 400; i++) {
            boolean isAction = i % 2 == 0;
            long sent = System.nanoTime();
            post(client, host, key, isAction ? "/actions/a" + i : "/notes/n" + i, "added-" + i);
            if (i >= 100) {
                (isAction ? action : note).recordNanos(System.nanoTime() - sent);
            }
        }
        note.writeTo(row, "idempotent");
        action.writeTo(row, "one_time");
    }

    private static void faults(Deployment deployment, String key, Random random, ObjectNode row)
            throws IOException, InterruptedException {
        CallerClient client = new CallerClient();
        List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
        Map<String, List<String>> outcomes = new ConcurrentHashMap<>();
        for (int i = 0; i < ACTIONS; i++) {
            String name = "f" + i;
            disturb(deployment, hosts, random, i);
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                HostProcess host = hosts.get(random.nextInt(hosts.size()));
                outcomes.computeIfAbsent(name, action -> new ArrayList<>()).add(outcome(client, host, key, name));
            }
        }
        count(outcomes, runs(deployment), row);
    }

    private static void disturb(Deployment deployment, List<HostProcess> hosts, Random random, int index)
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

    private static String outcome(CallerClient client, HostProcess host, String key, String name)
            throws InterruptedException {
        try {
            HttpResponse<String> answer = post(client, host, key, "/actions/" + name, name);
            return answer.statusCode() == 200
                    ? "answered"
                    : JSON.readTree(answer.body()).path("error").path("ran").asText("none");
        } catch (IOException e) {
            return "no answer";
        }
    }

    private static Map<String, Integer> runs(Deployment deployment) throws IOException, InterruptedException {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        for (PlainServer plain : deployment.plainServices().values()) {
            JsonNode stats = JSON.readTree(deployment
                    .get(URI.create("http://127.0.0.1:" + plain.port() + "/stats"))
                    .body());
            stats.properties()
                    .forEach(
                            field -> runs.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
        }
        return runs;
    }

    private static void count(Map<String, List<String>> outcomes, Map<String, Integer> runs, ObjectNode row) {
        int twice = 0;
        int falseNotRun = 0;
        int unknown = 0;
        int all = 0;
        for (Map.Entry<String, List<String>> entry : outcomes.entrySet()) {
            int ran = runs.getOrDefault("/actions/" + entry.getKey(), 0);
            twice += ran > 1 ? 1 : 0;
            boolean answered = entry.getValue().contains("answered");
            boolean neverTold = ran > 0 && !answered;
            String last = entry.getValue().get(REPEATS - 1);
            falseNotRun += neverTold && last.equals("not_run") ? 1 : 0;
            unknown += (int) entry.getValue().stream().filter("unknown"::equals).count();
            all += entry.getValue().size();
        }
        row.put("actions", outcomes.size()).put("requests", all);
        row.put("ran_twice", twice).put("false_not_run", falseNotRun);
        row.put("share_unknown", Math.round(unknown * 1000.0 / all) / 1000.0);
    }
}
