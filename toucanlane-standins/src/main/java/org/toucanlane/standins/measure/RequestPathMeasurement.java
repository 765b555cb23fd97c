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
 * Measures the latency that one host adds to a streamed call, compared with the same call sent directly to the engine;
 * the cost of many concurrent streams; and the memory of a host with a configuration of the target size.
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
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        generator.regions(1, 1).modelService(2000, "r0-a").account("caller", 100_000_000, 200_000_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(generator.root(), run, ENGINE, JAVA_OPTIONS)) {
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            HostProcess host = deployment.hosts().get("h0");
            EngineServer engine = deployment.engines().get("e0");
            URI engineAddress = URI.create("http://127.0.0.1:" + engine.port());
            publishTargetConfiguration(deployment, host, work, result);
            measureAddedLatency(250, 10, engineAddress, host.callerUri(), key, null);
            measureAddedLatency(25, 8, engineAddress, host.callerUri(), key, result);
            measureAddedLatency(250, 12, engineAddress, host.callerUri(), key, result);
            measureConcurrentStreams(host, key, result);
        }
    }

    private static void measureAddedLatency(
            int perSecond, int seconds, URI engineAddress, URI hostAddress, String key, ObjectNode result)
            throws InterruptedException {
        LatencyHistogram directFirst = new LatencyHistogram();
        LatencyHistogram directGaps = new LatencyHistogram();
        LatencyHistogram hostFirst = new LatencyHistogram();
        LatencyHistogram hostGaps = new LatencyHistogram();
        AtomicInteger failed = new AtomicInteger();
        OpenLoopGenerator.run(perSecond * 2.0, seconds, index -> {
            boolean isDirect = index % 2 == 0;
            StreamReader reader =
                    isDirect ? new StreamReader(directFirst, directGaps) : new StreamReader(hostFirst, hostGaps);
            try {
                reader.run(isDirect ? engineAddress : hostAddress, isDirect ? "" : key, PROMPT_WORDS, OUTPUT_TOKENS);
                failed.addAndGet(reader.isComplete(OUTPUT_TOKENS) && reader.isOrdered() ? 0 : 1);
            } catch (IOException e) {
                failed.incrementAndGet();
            }
        });
        if (result == null) {
            return;
        }
        ObjectNode row = result.putObject("at_" + perSecond + "_per_s");
        directFirst.writeTo(row, "direct_first");
        hostFirst.writeTo(row, "first");
        row.put("added_first_p50_ms", roundToMicros(hostFirst.percentileMillis(50) - directFirst.percentileMillis(50)));
        row.put("added_first_p99_ms", roundToMicros(hostFirst.percentileMillis(99) - directFirst.percentileMillis(99)));
        row.put("added_gap_p50_ms", roundToMicros(hostGaps.percentileMillis(50) - directGaps.percentileMillis(50)));
        row.put("added_gap_p99_ms", roundToMicros(hostGaps.percentileMillis(99) - directGaps.percentileMillis(99)));
        row.put("failed", failed.get());
    }

    private static double roundToMicros(double millis) {
        return Math.round(millis * 1000) / 1000.0;
    }

    private static void measureConcurrentStreams(HostProcess host, String key, ObjectNode result)
            throws IOException, InterruptedException {
        LatencyHistogram first = new LatencyHistogram();
        LatencyHistogram gaps = new LatencyHistogram();
        AtomicInteger failedStreams = new AtomicInteger();
        AtomicInteger eventCount = new AtomicInteger();
        CountDownLatch finished = new CountDownLatch(CONCURRENT_STREAMS);
        ProcessUsage usageBefore = ProcessUsage.read(host.pid());
        long started = System.nanoTime();
        for (int i = 0; i < CONCURRENT_STREAMS; i++) {
            Thread readerThread = new Thread(() -> {
                StreamReader reader = new StreamReader(first, gaps);
                try {
                    reader.run(host.callerUri(), key, PROMPT_WORDS, TOKENS_PER_STREAM);
                } catch (IOException e) {
                    failedStreams.incrementAndGet();
                }
                failedStreams.addAndGet(reader.isComplete(TOKENS_PER_STREAM) && reader.isOrdered() ? 0 : 1);
                eventCount.addAndGet(reader.eventCount());
                finished.countDown();
            });
            readerThread.start();
        }
        Thread.sleep(5000);
        double residentMegabytes = ProcessUsage.read(host.pid()).residentMegabytes();
        finished.await();
        double seconds = (System.nanoTime() - started) / 1e9;
        double cpuSeconds = ProcessUsage.read(host.pid()).cpuSeconds() - usageBefore.cpuSeconds();
        ObjectNode row = result.putObject("streams");
        row.put("open", CONCURRENT_STREAMS).put("cut_or_reordered", failedStreams.get());
        row.put("events_per_s", Math.round(eventCount.get() / seconds));
        row.put("host_cpu_cores", roundToMicros(cpuSeconds / seconds));
        row.put("host_cpu_micros_per_event", roundToMicros(cpuSeconds * 1e6 / eventCount.get()));
        gaps.writeTo(row, "gap");
        row.put("resident_mb", residentMegabytes);
    }

    private static void publishTargetConfiguration(
            Deployment deployment, HostProcess host, Path work, ObjectNode result)
            throws IOException, InterruptedException {
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("target")));
        generator.bulkAccounts(TARGET_ACCOUNTS, KEYS_PER_ACCOUNT);
        Thread.sleep(3000);
        result.put("resident_at_rest_mb", ProcessUsage.read(host.pid()).residentMegabytes());
        long started = System.nanoTime();
        Deployment.CommandResult published =
                deployment.runCommand("publish", "--wait", generator.root().toString());
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
