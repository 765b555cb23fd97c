package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.fleet.CallerClient;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/**
 * Two accounts with equal weights before an engine that can serve 20 requests a second: one asks for 8, the other for 50.
 * The baseline is the same load straight to the engine, which serves in order of arrival.
 */
final class FairnessPhase {

    private static final EngineOptions ENGINE = new EngineOptions(4, 10_000, 0, 0, 64, 300);
    private static final int TOKENS = 20;
    private static final int CALM_PER_SECOND = 8;
    private static final int HOT_PER_SECOND = 50;
    private static final int SECONDS = 12;
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final long FILL_SECONDS = 4;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    void run(Path work, List<String> javaOptions, ObjectNode row) throws IOException, InterruptedException {
        GeneratedFleet files = new GeneratedFleet(Files.createDirectories(work.resolve("example")));
        files.regions(1, 2).engines(4, "r0-a").account("calm", 100_000, 200_000).account("hot", 100_000, 200_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(files.root(), run, ENGINE, javaOptions)) {
            deployment.startHosts();
            String calm = deployment.issueKey("calm");
            String hot = deployment.issueKey("hot");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(FILL_SECONDS);
            List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
            URI direct = URI.create(
                    "http://127.0.0.1:" + deployment.engines().get("e0").port());
            row.put("calm_goodput_over_offered", load(calm, hot, hosts));
            TimeUnit.SECONDS.sleep(FILL_SECONDS);
            row.put("calm_goodput_over_offered_straight_to_engine", load(direct));
        }
    }

    private double load(String calm, String hot, List<HostProcess> hosts) throws InterruptedException {
        return load((index, isCalm) -> HttpRequest.newBuilder(
                        hosts.get(index % hosts.size()).callerUri().resolve("/v1/chat/completions"))
                .header("Authorization", "Bearer " + (isCalm ? calm : hot))
                .header("X-Timeout-Millis", Long.toString(DEADLINE.toMillis())));
    }

    private double load(URI direct) throws InterruptedException {
        return load((index, isCalm) -> HttpRequest.newBuilder(direct.resolve("/v1/chat/completions")));
    }

    private double load(RequestStart start) throws InterruptedException {
        AtomicInteger good = new AtomicInteger();
        AtomicInteger offered = new AtomicInteger();
        int all = CALM_PER_SECOND + HOT_PER_SECOND;
        OpenLoop.run(all, SECONDS, index -> {
            boolean isCalm = index * CALM_PER_SECOND / all != (index + 1) * CALM_PER_SECOND / all;
            offered.addAndGet(isCalm ? 1 : 0);
            HttpRequest request = start.of(index, isCalm)
                    .timeout(DEADLINE.plusSeconds(1))
                    .POST(HttpRequest.BodyPublishers.ofString(CallerClient.chatBody("m", "hello", TOKENS, false)))
                    .build();
            try {
                int status = client.send(request, HttpResponse.BodyHandlers.discarding())
                        .statusCode();
                good.addAndGet(isCalm && status == 200 ? 1 : 0);
            } catch (IOException ignored) {
                // Counted as not served.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return Math.round(good.get() * 1000.0 / offered.get()) / 1000.0;
    }

    /** Begins a request to a place, for the calm account or the hot one. */
    @FunctionalInterface
    private interface RequestStart {
        HttpRequest.Builder of(int index, boolean isCalm);
    }
}
