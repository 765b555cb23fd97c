package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.engine.EngineServer;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/**
 * What one host adds to a call, against the same call straight to the engine; many open streams; memory with the
 * target's configuration.
 */
final class RequestPathMeasurement implements Measurement {

    private static final List<String> JAVA_OPTIONS = List.of(
            "-Xmx104m",
            "-Xmn24m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:ReservedCodeCacheSize=48m",
            "-XX:MaxDirectMemorySize=48m");
    private static final EngineOptions ENGINE = new EngineOptions(2000, 6_667, 0, 0, 64, 300);
    private static final int OUTPUT_TOKENS = 8;
    private static final int PROMPT_WORDS = 10;
    private static final int CONCURRENT_STREAMS = 500;
    private static final int TOKENS_PER_STREAM = 1500;
    private static final int TARGET_ACCOUNTS = 2500;
    private static final int KEYS_PER_ACCOUNT = 4;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        ConfigurationGenerator files = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        files.regions(1, 1).modelService(2000, "r0-a").account("caller", 100_000_000, 200_000_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, ENGINE, JAVA_OPTIONS)) {
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            HostProcess host = deployment.hosts().get("h0");
            EngineServer engine = deployment.engines().get("e0");
            URI direct = URI.create("http://127.0.0.1:" + engine.port());
            publishTargetConfiguration(deployment, host, work, result);
            measureAddedLatency(250, 10, direct, host.caller(), key, null);
            measureAddedLatency(25, 8, direct, host.caller(), key, result);
            measureAddedLatency(250, 12, direct, host.caller(), key, result);
            measureConcurrentStreams(host, key, result);
        }
    }

    private static void measureAddedLatency(
            int perSecond, int seconds, URI direct, URI through, String key, ObjectNode result)
            throws InterruptedException {
        LatencyHistogram directFirst = new LatencyHistogram();
        LatencyHistogram directGaps = new LatencyHistogram();
        LatencyHistogram first = new LatencyHistogram();
        LatencyHistogram gaps = new LatencyHistogram();
        AtomicInteger failed = new AtomicInteger();
        OpenLoopGenerator.run(perSecond * 2.0, seconds, index -> {
            boolean isDirect = index % 2 == 0;
            StreamReader reader = isDirect ? new StreamReader(directFirst, directGaps) : new StreamReader(first, gaps);
            try {
                reader.run(isDirect ? direct : through, isDirect ? "" : key, PROMPT_WORDS, OUTPUT_TOKENS);
                failed.addAndGet(reader.isComplete(OUTPUT_TOKENS) && reader.isOrdered() ? 0 : 1);
            } catch (IOException e) {
                failed.incrementAndGet();
            }
        });
        if (result == null) {
            return;
        }
        ObjectNode at = result.putObject("at_" + perSecond + "_per_s");
        directFirst.writeTo(at, "direct_first");
        first.writeTo(at, "first");
        at.put("added_first_p50_ms", roundToMicros(first.percentileMillis(50) - directFirst.percentileMillis(50)));
        at.put("added_first_p99_ms", roundToMicros(first.percentileMillis(99) - directFirst.percentileMillis(99)));
        at.put("added_gap_p50_ms", roundToMicros(gaps.percentileMillis(50) - directGaps.percentileMillis(50)));
        at.put("added_gap_p99_ms", roundToMicros(gaps.percentileMillis(99) - directGaps.percentileMillis(99)));
        at.put("failed", failed.get());
    }

    private static double roundToMicros(double millis) {
        return Math.round(millis * 1000) / 1000.0;
    }

    private static void measureConcurrentStreams(HostProcess host, String key, ObjectNode result)
            throws IOException, InterruptedException {
        LatencyHistogram first = new LatencyHistogram();
        LatencyHistogram gaps = new LatencyHistogram();
        AtomicInteger bad = new AtomicInteger();
        AtomicInteger events = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(CONCURRENT_STREAMS);
        ProcessUsage before = ProcessUsage.read(host.pid());
        long started = System.nanoTime();
        for (int i = 0; i < CONCURRENT_STREAMS; i++) {
            Thread reading = new Thread(() -> {
                StreamReader reader = new StreamReader(first, gaps);
                try {
                    reader.run(host.caller(), key, PROMPT_WORDS, TOKENS_PER_STREAM);
                } catch (IOException e) {
                    bad.incrementAndGet();
                }
                bad.addAndGet(reader.isComplete(TOKENS_PER_STREAM) && reader.isOrdered() ? 0 : 1);
                events.addAndGet(reader.eventCount());
                ended.countDown();
            });
            reading.start();
        }
        Thread.sleep(5000);
        double resident = ProcessUsage.read(host.pid()).residentMegabytes();
        ended.await();
        double seconds = (System.nanoTime() - started) / 1e9;
        double cpu = ProcessUsage.read(host.pid()).cpuSeconds() - before.cpuSeconds();
        ObjectNode streams = result.putObject("streams");
        streams.put("open", CONCURRENT_STREAMS).put("cut_or_reordered", bad.get());
        streams.put("events_per_s", Math.round(events.get() / seconds));
        streams.put("host_cpu_cores", roundToMicros(cpu / seconds));
        streams.put("host_cpu_micros_per_event", roundToMicros(cpu * 1e6 / events.get()));
        gaps.writeTo(streams, "gap");
        streams.put("resident_mb", resident);
    }

    private static void publishTargetConfiguration(
            Deployment deployment, HostProcess host, Path work, ObjectNode result)
            throws IOException, InterruptedException {
        ConfigurationGenerator target = new ConfigurationGenerator(Files.createDirectories(work.resolve("target")));
        target.bulkAccounts(TARGET_ACCOUNTS, KEYS_PER_ACCOUNT);
        Thread.sleep(3000);
        result.put("resident_at_rest_mb", ProcessUsage.read(host.pid()).residentMegabytes());
        long started = System.nanoTime();
        Deployment.CommandResult published =
                deployment.command("publish", "--wait", target.root().toString());
        if (published.exitCode() != 0) {
            throw new IllegalStateException(published.errors());
        }
        ObjectNode configuration = result.putObject("target_configuration");
        configuration.put("accounts", TARGET_ACCOUNTS).put("keys", TARGET_ACCOUNTS * KEYS_PER_ACCOUNT);
        configuration.put("published_in_s", roundToMicros((System.nanoTime() - started) / 1e9));
        Thread.sleep(5000);
        configuration.put("resident_mb", ProcessUsage.read(host.pid()).residentMegabytes());
    }
}
