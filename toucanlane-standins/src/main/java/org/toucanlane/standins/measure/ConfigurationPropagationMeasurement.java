package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/**
 * Measures configuration propagation at several numbers of hosts, with a healthy and with a slow store: the time until
 * a change is in force on all hosts, how often the oldest version in force moves back, and the cost of the control plane
 * for each host and for the store.
 */
final class ConfigurationPropagationMeasurement implements Measurement {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx96m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final int REGIONS = 4;
    private static final int HEALTHY_STORE_CHANGES = 5;
    private static final int SLOW_STORE_CHANGES = 2;
    private static final int SETTLE_SECONDS = 20;
    private static final int IDLE_SECONDS = 15;
    private static final int SLOW_STORE_DELAY_MILLIS = 1500;

    private final List<Integer> hostCounts;

    ConfigurationPropagationMeasurement(String commaSeparatedCounts) {
        this.hostCounts = Arrays.stream(commaSeparatedCounts.split(","))
                .map(Integer::valueOf)
                .toList();
    }

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        ArrayNode rows = result.putArray("sizes");
        for (int hosts : hostCounts) {
            ObjectNode row = rows.addObject();
            measure(hosts, Files.createDirectories(work.resolve("at-" + hosts)), row);
            System.err.println(row);
        }
    }

    private static void measure(int hosts, Path work, ObjectNode row) throws IOException, InterruptedException {
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        generator
                .regions(REGIONS, hosts)
                .modelService(8, "r0-a", "r1-a", "r2-a", "r3-a")
                .account("caller", 1000, 10_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment =
                Deployment.prepare(generator.root(), run, EngineOptions.defaults(), JAVA_OPTIONS)) {
            deployment.setDelayBetweenDataCentres(55, "r0-a");
            deployment.startHosts();
            deployment.publish();
            deployment.awaitReady();
            row.put("hosts", hosts);
            measureIdleCost(deployment, row);
            measurePropagation(deployment, HEALTHY_STORE_CHANGES, row.putObject("store_healthy"));
            setStoreDelay(deployment, SLOW_STORE_DELAY_MILLIS);
            measurePropagation(deployment, SLOW_STORE_CHANGES, row.putObject("store_slow"));
        }
    }

    private static void setStoreDelay(Deployment deployment, int millis) throws IOException, InterruptedException {
        deployment.post(deployment.platformAddress().resolve("/faults"), "{\"delayMillis\":" + millis + '}');
    }

    private static void measureIdleCost(Deployment deployment, ObjectNode row)
            throws IOException, InterruptedException {
        Thread.sleep(SETTLE_SECONDS * 1000L);
        long callsBefore = storeCallCount(deployment);
        List<ProcessUsage> usagesBefore = processUsages(deployment);
        long bytesBefore = proxyBytes(deployment);
        Thread.sleep(IDLE_SECONDS * 1000L);
        List<ProcessUsage> usagesAfter = processUsages(deployment);
        double maxCpuSeconds = 0;
        double maxResidentMegabytes = 0;
        for (int i = 0; i < usagesAfter.size(); i++) {
            maxCpuSeconds = Math.max(
                    maxCpuSeconds,
                    usagesAfter.get(i).cpuSeconds() - usagesBefore.get(i).cpuSeconds());
            maxResidentMegabytes =
                    Math.max(maxResidentMegabytes, usagesAfter.get(i).residentMegabytes());
        }
        row.put("store_calls_per_s", (storeCallCount(deployment) - callsBefore) / (double) IDLE_SECONDS);
        row.put("worst_control_cpu_percent_of_core", Math.round(maxCpuSeconds / IDLE_SECONDS * 10_000) / 100.0);
        row.put("worst_resident_mb", maxResidentMegabytes);
        long transferredBytes = proxyBytes(deployment) - bytesBefore;
        row.put(
                "wide_area_control_bytes_per_host_s",
                Math.round(transferredBytes / (double) IDLE_SECONDS / usagesAfter.size()));
    }

    private static List<ProcessUsage> processUsages(Deployment deployment) throws IOException {
        List<ProcessUsage> usages = new ArrayList<>();
        for (HostProcess host : deployment.hosts().values()) {
            usages.add(ProcessUsage.read(host.pid()));
        }
        return usages;
    }

    private static long storeCallCount(Deployment deployment) throws IOException, InterruptedException {
        var stats = JSON.readTree(
                deployment.get(deployment.platformAddress().resolve("/stats")).body());
        return stats.path("reads").asLong()
                + stats.path("writes").asLong()
                + stats.path("watches").asLong();
    }

    private static long proxyBytes(Deployment deployment) {
        List<String> dataCentres = deployment.dataCentres();
        long bytes = 0;
        for (String from : dataCentres) {
            bytes += dataCentres.stream()
                    .filter(to -> to.compareTo(from) > 0)
                    .mapToLong(to -> deployment.proxy().bytesTransferred(from, to))
                    .sum();
        }
        return bytes;
    }

    private static void measurePropagation(Deployment deployment, int changes, ObjectNode row)
            throws IOException, InterruptedException {
        LatencyHistogram latencies = new LatencyHistogram();
        int reverts = 0;
        long latestVersion = 0;
        double maxSeconds = 0;
        for (int i = 0; i < changes; i++) {
            deployment.issueKey("caller");
            Deployment.CommandResult published = deployment.runCommand(
                    "--json", "publish", deployment.serviceFolders().root().toString());
            long started = System.nanoTime();
            long version = JSON.readTree(published.output()).path("version").asLong();
            long previousVersion = latestVersion;
            Deployment.await("version " + version, () -> deployment.oldestConfigurationVersion() >= version);
            reverts += deployment.oldestConfigurationVersion() < previousVersion ? 1 : 0;
            latestVersion = version;
            latencies.recordNanos(System.nanoTime() - started);
            maxSeconds = Math.max(maxSeconds, (System.nanoTime() - started) / 1e9);
        }
        row.put("in_force_everywhere_p50_s", latencies.percentileMillis(50) / 1000);
        row.put("in_force_everywhere_max_s", Math.round(maxSeconds * 1000) / 1000.0);
        row.put("reverts", reverts);
    }
}
