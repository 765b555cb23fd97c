package org.toucanlane.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests with real processes that a one-time action runs at most once, whether a host, the service or the store fails
 * while it runs.
 */
class OneTimeActionTest {

    @TempDir
    private static Path work;

    private static FleetFixture fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = FleetFixture.start(work);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void clearFaults() throws IOException, InterruptedException {
        fleet.setPlainServiceFaults("delayMillis=0");
        fleet.setPlatformFaults("{\"down\":false,\"delayMillis\":0}");
    }

    @Test
    void concurrentRepeatsAtAllHostsRunOnce() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Future<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            HostProcess host = List.copyOf(fleet.deployment().hosts().values()).get(i % 4);
            responses.add(callers.submit(() -> fleet.sendAction(host, "together", "together-key")));
        }
        int succeeded = 0;
        for (Future<HttpResponse<String>> response : responses) {
            succeeded += response.get().statusCode() == 200 ? 1 : 0;
        }
        callers.shutdown();
        assertThat(fleet.actionRuns("together")).isEqualTo(1);
        assertThat(succeeded).isPositive();
        assertThat(fleet.sendAction(fleet.host("s2"), "together", "together-key")
                        .statusCode())
                .isEqualTo(200);
    }

    @Test
    void repeatAfterHostKillDoesNotRunAgain() throws Exception {
        fleet.setPlainServiceFaults("delayMillis=1500");
        HostProcess killed = fleet.host("n1");
        CompletableFuture<HttpResponse<String>> first = sendActionAsync(killed, "killed", "killed-key");
        Deployment.await("the action to reach its service", () -> runsOrZero("killed") == 1);
        killed.kill();
        assertThat(first).failsWithin(Duration.ofSeconds(10)).withThrowableOfType(ExecutionException.class);
        HttpResponse<String> repeat = fleet.sendAction(fleet.host("s1"), "killed", "killed-key");
        assertThat(FleetFixture.error(repeat).path("ran").asText()).isEqualTo("unknown");
        assertThat(fleet.actionRuns("killed")).isEqualTo(1);
        killed.start();
        fleet.deployment().awaitReady();
    }

    private static long runsOrZero(String name) throws InterruptedException {
        try {
            return fleet.actionRuns(name);
        } catch (IOException e) {
            return 0;
        }
    }

    private static CompletableFuture<HttpResponse<String>> sendActionAsync(HostProcess host, String name, String key) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return fleet.sendAction(host, name, key);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void lostServiceResponseIsUnknownAndNotRetried() throws Exception {
        fleet.setPlainServiceFaults("loseAnswers=1");
        HttpResponse<String> first = fleet.sendAction(fleet.host("n1"), "lost", "lost-key");
        assertThat(FleetFixture.error(first).path("ran").asText()).isEqualTo("unknown");
        HttpResponse<String> repeat = fleet.sendAction(fleet.host("n2"), "lost", "lost-key");
        assertThat(FleetFixture.error(repeat).path("ran").asText()).isEqualTo("unknown");
        assertThat(fleet.actionRuns("lost")).isEqualTo(1);
    }

    @Test
    void actionWithoutIdempotencyKeyIsSentOnce() throws Exception {
        fleet.setPlainServiceFaults("loseAnswers=1");
        URI address = fleet.host("n1").callerUri().resolve("/services/desk/actions/keyless");
        HttpResponse<String> response = fleet.client().send(CallerClient.Call.post(address, fleet.bigKey(), "{}"));
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(fleet.actionRuns("keyless")).isEqualTo(1);
    }

    @Test
    void claimWithLostStoreResponseRunsOnce() throws Exception {
        fleet.setPlatformFaults("{\"loseAnswers\":1}");
        HttpResponse<String> response = fleet.sendAction(fleet.host("n1"), "store-lost", "store-lost-key");
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(fleet.actionRuns("store-lost")).isEqualTo(1);
        assertThat(fleet.sendAction(fleet.host("s1"), "store-lost", "store-lost-key")
                        .body())
                .isEqualTo(response.body());
    }

    @Test
    void differentRequestUnderSameKeyIsRejected() throws Exception {
        assertThat(fleet.sendAction(fleet.host("n1"), "one", "same-key").statusCode())
                .isEqualTo(200);
        HttpResponse<String> other = fleet.sendAction(fleet.host("s1"), "two", "same-key");
        assertThat(FleetFixture.error(other).path("type").asText()).isEqualTo("idempotency_key_reused");
        assertThat(fleet.actionRuns("two")).isZero();
    }

    @Test
    void resumedHostDoesNotRunActionAgain() throws Exception {
        fleet.setPlainServiceFaults("delayMillis=500");
        HostProcess suspended = fleet.host("n2");
        CompletableFuture<HttpResponse<String>> first = sendActionAsync(suspended, "frozen", "frozen-key");
        Deployment.await("the action to reach its service", () -> runsOrZero("frozen") == 1);
        suspended.suspend();
        HttpResponse<String> repeat = fleet.sendAction(fleet.host("s1"), "frozen", "frozen-key");
        assertThat(repeat.statusCode()).isEqualTo(409);
        suspended.resume();
        assertThat(first.get().statusCode()).isEqualTo(200);
        assertThat(fleet.sendAction(fleet.host("s1"), "frozen", "frozen-key").statusCode())
                .isEqualTo(200);
        assertThat(fleet.actionRuns("frozen")).isEqualTo(1);
    }
}
