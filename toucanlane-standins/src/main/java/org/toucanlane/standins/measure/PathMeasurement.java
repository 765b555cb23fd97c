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
final class PathMeasurement implements Measurement {

    private static final List<String> JAVA_OPTIONS = List.of(
            "-Xmx104m",
            "-Xmn24m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:ReservedCodeCacheSize=48m",
            "-XX:MaxDirectMemorySize=48m");
    private static final EngineOptions ENGINE = new EngineOptions(2000, 6_667, 0, 0, 64, 300);
    private static final int TOKENS = 8;
    private static final int WORDS = 10;
    private static final int STREAMS = 500;
    private static final int STREAM_TOKENS = 1500;
    private static final int TARGET_ACCOUNTS = 2500;
    private static final int KEYS_EACH = 4;

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        GeneratedFleet files = new GeneratedFleet(Files.createDirectories(work.resolve("example")));
        files.regions(1, 1).engines(2000, "r0-a").account("caller", 100_000_000, 200_000_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, ENGINE, JAVA_OPTIONS)) {
            deployment.startHosts();
            String key = deployment.issueKey("caller");
            deployment.publish();
            deployment.awaitReady();
            HostProcess host = deployment.hosts().get("h0");
            EngineServer engine = deployment.engines().get("e0");
            URI direct = URI.create("http://127.0.0.1:" + engine.port());
            loadTargetConfiguration(deployment, host, work, result);
            compare(250, 10, direct, host.callerUri(), key, null);
            compare(25, 8, direct, host.callerUri(), key, result);
            compare(250, 12, direct, host.callerUri(), key, result);
            streams(host, key, result);
        }
    }

    private static void compare(int perSecond, int seconds, URI direct, URI through, String key, ObjectNode result)
            throws InterruptedException {
        Quantiles directFirst = new Quantiles();
        Quantiles directGaps = new Quantiles();
        Quantiles first = new Quantiles();
        Quantiles gaps = new Quantiles();
        AtomicInteger failed = new AtomicInteger();
        OpenLoop.run(perSecond * 2.0, seconds, index -> {
            boolean isDirect = index % 2 == 0;
            StreamReader reader = isDirect ? new StreamReader(directFirst, directGaps) : new StreamReader(first, gaps);
            try {
                reader.run(isDirect ? direct : through, isDirect ? "" : key, WORDS, TOKENS);
                failed.addAndGet(reader.isWhole(TOKENS) && reader.isOrdered() ? 0 : 1);
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
        at.put("added_first_p50_ms", round(first.millis(50) - directFirst.millis(50)));
        at.put("added_first_p99_ms", round(first.millis(99) - directFirst.millis(99)));
        at.put("added_gap_p50_ms", round(gaps.millis(50) - directGaps.millis(50)));
        at.put("added_gap_p99_ms", round(gaps.millis(99) - directGaps.millis(99)));
        at.put("failed", failed.get());
    }

    private static double round(double millis) {
        return Math.round(millis * 1000) / 1000.0;
    }

    private static void streams(HostProcess host, String key, ObjectNode result)
            throws IOException, InterruptedException {
        Quantiles first = new Quantiles();
        Quantiles gaps = new Quantiles();
        AtomicInteger bad = new AtomicInteger();
        AtomicInteger events = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(STREAMS);
        ProcessUse before = ProcessUse.of(host.pid());
        long started = System.nanoTime();
        for (int i = 0; i < STREAMS; i++) {
            Thread reading = new Thread(() -> {
                StreamReader reader = new StreamReader(first, gaps);
                try {
                    reader.run(host.callerUri(), key, WORDS, STREAM_TOKENS);
                } catch (IOException e) {
                    bad.incrementAndGet();
                }
                bad.addAndGet(reader.isWhole(STREAM_TOKENS) && reader.isOrdered() ? 0 : 1);
                events.addAndGet(reader.events());
                ended.countDown();
            });
            reading.start();
        }
        Thread.sleep(5000);
        double resident = ProcessUse.of(host.pid()).residentMegabytes();
        ended.await();
        double seconds = (System.nanoTime() - started) / 1e9;
        double cpu = ProcessUse.of(host.pid()).cpuSeconds() - before.cpuSeconds();
        ObjectNode streams = result.putObject("streams");
        streams.put("open", STREAMS).put("cut_or_reordered", bad.get());
        streams.put("events_per_s", Math.round(events.get() / seconds));
        streams.put("host_cpu_cores", round(cpu / seconds));
        streams.put("host_cpu_micros_per_event", round(cpu * 1e6 / events.get()));
        gaps.writeTo(streams, "gap");
        streams.put("resident_mb", resident);
    }

    private static void loadTargetConfiguration(Deployment deployment, HostProcess host, Path work, ObjectNode result)
            throws IOException, InterruptedException {
        GeneratedFleet target = new GeneratedFleet(Files.createDirectories(work.resolve("target")));
        target.manyAccounts(TARGET_ACCOUNTS, KEYS_EACH);
        Thread.sleep(3000);
        result.put("resident_at_rest_mb", ProcessUse.of(host.pid()).residentMegabytes());
        long started = System.nanoTime();
        Deployment.CommandResult published =
                deployment.runCommand("publish", "--wait", target.root().toString());
        if (published.exitCode() != 0) {
            throw new IllegalStateException(published.errors());
        }
        ObjectNode configuration = result.putObject("target_configuration");
        configuration.put("accounts", TARGET_ACCOUNTS).put("keys", TARGET_ACCOUNTS * KEYS_EACH);
        configuration.put("published_in_s", round((System.nanoTime() - started) / 1e9));
        Thread.sleep(5000);
        configuration.put("resident_mb", ProcessUse.of(host.pid()).residentMegabytes());
    }
}
