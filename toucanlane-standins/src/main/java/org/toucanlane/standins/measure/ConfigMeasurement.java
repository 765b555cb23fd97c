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
 * Time until a change is in force everywhere, reverts, and what control costs each host and the store, at several
 * numbers of hosts; the store healthy and slow.
 */
final class ConfigMeasurement implements Measurement {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx96m", "-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1");
    private static final int REGIONS = 4;
    private static final int CHANGES = 5;
    private static final int SLOW_CHANGES = 2;
    private static final int SETTLE_SECONDS = 20;
    private static final int QUIET_SECONDS = 15;
    private static final int SLOW_STORE_MILLIS = 1500;

    private final List<Integer> sizes;

    ConfigMeasurement(String sizes) {
        this.sizes = Arrays.stream(sizes.split(",")).map(Integer::valueOf).toList();
    }

    @Override
    public void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException {
        ArrayNode rows = result.putArray("sizes");
        for (int hosts : sizes) {
            ObjectNode row = rows.addObject();
            measure(hosts, Files.createDirectories(work.resolve("at-" + hosts)), row);
            System.err.println(row);
        }
    }

    private static void measure(int hosts, Path work, ObjectNode row) throws IOException, InterruptedException {
        GeneratedFleet files = new GeneratedFleet(Files.createDirectories(work.resolve("example")));
        files.regions(REGIONS, hosts).engines(8, "r0-a", "r1-a", "r2-a", "r3-a").account("caller", 1000, 10_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, EngineOptions.defaults(), JAVA_OPTIONS)) {
            deployment.setDelayBetweenDataCentres(55, "r0-a");
            deployment.startHosts();
            deployment.publish();
            deployment.awaitReady();
            row.put("hosts", hosts);
            quiet(deployment, row);
            change(deployment, CHANGES, row.putObject("store_healthy"));
            setStoreDelay(deployment, SLOW_STORE_MILLIS);
            change(deployment, SLOW_CHANGES, row.putObject("store_slow"));
        }
    }

    private static void setStoreDelay(Deployment deployment, int millis) throws IOException, InterruptedException {
        deployment.post(deployment.platformAddress().resolve("/faults"), "{\"delayMillis\":" + millis + '}');
    }

    private static void quiet(Deployment deployment, ObjectNode row) throws IOException, InterruptedException {
        Thread.sleep(SETTLE_SECONDS * 1000L);
        long calls = storeCalls(deployment);
        List<ProcessUse> before = uses(deployment);
        long bytes = proxyBytes(deployment);
        Thread.sleep(QUIET_SECONDS * 1000L);
        List<ProcessUse> after = uses(deployment);
        double cpu = 0;
        double resident = 0;
        for (int i = 0; i < after.size(); i++) {
            cpu = Math.max(cpu, after.get(i).cpuSeconds() - before.get(i).cpuSeconds());
            resident = Math.max(resident, after.get(i).residentMegabytes());
        }
        row.put("store_calls_per_s", (storeCalls(deployment) - calls) / (double) QUIET_SECONDS);
        row.put("worst_control_cpu_percent_of_core", Math.round(cpu / QUIET_SECONDS * 10_000) / 100.0);
        row.put("worst_resident_mb", resident);
        long moved = proxyBytes(deployment) - bytes;
        row.put("wide_area_control_bytes_per_host_s", Math.round(moved / (double) QUIET_SECONDS / after.size()));
    }

    private static List<ProcessUse> uses(Deployment deployment) throws IOException {
        List<ProcessUse> uses = new ArrayList<>();
        for (HostProcess host : deployment.hosts().values()) {
            uses.add(ProcessUse.of(host.pid()));
        }
        return uses;
    }

    private static long storeCalls(Deployment deployment) throws IOException, InterruptedException {
        var stats = JSON.readTree(
                deployment.get(deployment.platformAddress().resolve("/stats")).body());
        return stats.path("reads").asLong()
                + stats.path("writes").asLong()
                + stats.path("watches").asLong();
    }

    private static long proxyBytes(Deployment deployment) {
        List<String> centres = deployment.dataCentres();
        long bytes = 0;
        for (String from : centres) {
            bytes += centres.stream()
                    .filter(to -> to.compareTo(from) > 0)
                    .mapToLong(to -> deployment.proxy().bytesTransferred(from, to))
                    .sum();
        }
        return bytes;
    }

    private static void change(Deployment deployment, int changes, ObjectNode row)
            throws IOException, InterruptedException {
        Quantiles times = new Quantiles();
        int reverts = 0;
        long newest = 0;
        double worst = 0;
        for (int i = 0; i < changes; i++) {
            deployment.issueKey("caller");
            Deployment.CommandResult published = deployment.runCommand(
                    "--json", "publish", deployment.serviceFolders().root().toString());
            long started = System.nanoTime();
            long version = JSON.readTree(published.output()).path("version").asLong();
            long seen = newest;
            Deployment.await("version " + version, () -> deployment.oldestConfigurationVersion() >= version);
            reverts += deployment.oldestConfigurationVersion() < seen ? 1 : 0;
            newest = version;
            times.recordNanos(System.nanoTime() - started);
            worst = Math.max(worst, (System.nanoTime() - started) / 1e9);
        }
        row.put("in_force_everywhere_p50_s", times.millis(50) / 1000);
        row.put("in_force_everywhere_max_s", Math.round(worst * 1000) / 1000.0);
        row.put("reverts", reverts);
    }
}
