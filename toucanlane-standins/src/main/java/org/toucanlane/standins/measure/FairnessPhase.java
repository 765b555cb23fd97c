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
 * Measures fairness between two accounts of equal weight that share an engine with a capacity of 20 requests per
 * second: the calm account sends 8 requests per second, the hot account 50. The baseline sends the same load directly to
 * the engine, which serves requests in order of arrival.
 */
final class FairnessPhase {

    private static final EngineOptions ENGINE = new EngineOptions(4, 10_000, 0, 0, 64, 300);
    private static final int OUTPUT_TOKENS = 20;
    private static final int CALM_REQUESTS_PER_SECOND = 8;
    private static final int HOT_REQUESTS_PER_SECOND = 50;
    private static final int LOAD_SECONDS = 12;
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final long BUCKET_FILL_SECONDS = 4;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    void run(Path work, List<String> javaOptions, ObjectNode row) throws IOException, InterruptedException {
        ConfigurationGenerator generator = new ConfigurationGenerator(Files.createDirectories(work.resolve("example")));
        generator
                .regions(1, 2)
                .modelService(4, "r0-a")
                .account("calm", 100_000, 200_000)
                .account("hot", 100_000, 200_000);
        Path run = Files.createDirectories(work.resolve("run"));
        try (Deployment deployment = Deployment.prepare(generator.root(), run, ENGINE, javaOptions)) {
            deployment.startHosts();
            String calm = deployment.issueKey("calm");
            String hot = deployment.issueKey("hot");
            deployment.publish();
            deployment.awaitReady();
            TimeUnit.SECONDS.sleep(BUCKET_FILL_SECONDS);
            List<HostProcess> hosts = List.copyOf(deployment.hosts().values());
            URI engineAddress = URI.create(
                    "http://127.0.0.1:" + deployment.engines().get("e0").port());
            row.put("calm_goodput_over_offered", measureGoodput(calm, hot, hosts));
            TimeUnit.SECONDS.sleep(BUCKET_FILL_SECONDS);
            row.put("calm_goodput_over_offered_straight_to_engine", measureGoodput(engineAddress));
        }
    }

    private double measureGoodput(String calm, String hot, List<HostProcess> hosts) throws InterruptedException {
        return measureGoodput((index, isCalm) -> HttpRequest.newBuilder(
                        hosts.get(index % hosts.size()).callerUri().resolve("/v1/chat/completions"))
                .header("Authorization", "Bearer " + (isCalm ? calm : hot))
                .header("X-Timeout-Millis", Long.toString(DEADLINE.toMillis())));
    }

    private double measureGoodput(URI engineAddress) throws InterruptedException {
        return measureGoodput((index, isCalm) -> HttpRequest.newBuilder(engineAddress.resolve("/v1/chat/completions")));
    }

    private double measureGoodput(RequestFactory requestFactory) throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        AtomicInteger offered = new AtomicInteger();
        int totalPerSecond = CALM_REQUESTS_PER_SECOND + HOT_REQUESTS_PER_SECOND;
        OpenLoopGenerator.run(totalPerSecond, LOAD_SECONDS, index -> {
            boolean isCalm = index * CALM_REQUESTS_PER_SECOND / totalPerSecond
                    != (index + 1) * CALM_REQUESTS_PER_SECOND / totalPerSecond;
            offered.addAndGet(isCalm ? 1 : 0);
            HttpRequest request = requestFactory
                    .newRequest(index, isCalm)
                    .timeout(DEADLINE.plusSeconds(1))
                    .POST(HttpRequest.BodyPublishers.ofString(
                            CallerClient.chatBody("m", "hello", OUTPUT_TOKENS, false)))
                    .build();
            try {
                int status = client.send(request, HttpResponse.BodyHandlers.discarding())
                        .statusCode();
                served.addAndGet(isCalm && status == 200 ? 1 : 0);
            } catch (IOException ignored) {
                // The request counts as offered but not served.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return Math.round(served.get() * 1000.0 / offered.get()) / 1000.0;
    }

    /** Creates the builder of a request, with its target and the credentials of the calm or the hot account. */
    @FunctionalInterface
    private interface RequestFactory {
        HttpRequest.Builder newRequest(int index, boolean isCalm);
    }
}
