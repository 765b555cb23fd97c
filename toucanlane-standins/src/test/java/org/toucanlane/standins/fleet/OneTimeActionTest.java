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

/** Real processes, one-time actions, and everything that may go wrong while one runs. */
class OneTimeActionTest {

    @TempDir
    private static Path work;

    private static SmallFleet fleet;

    @BeforeAll
    static void start() throws IOException, InterruptedException {
        fleet = SmallFleet.start(work);
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void heal() throws IOException, InterruptedException {
        fleet.plainFaults("delayMillis=0");
        fleet.platformFaults("{\"down\":false,\"delayMillis\":0}");
    }

    @Test
    void repeatsAtEveryHostAtTheSameMomentRunOnce() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Future<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            HostProcess host = List.copyOf(fleet.deployment().hosts().values()).get(i % 4);
            answers.add(callers.submit(() -> fleet.action(host, "together", "together-key")));
        }
        int answered = 0;
        for (Future<HttpResponse<String>> answer : answers) {
            answered += answer.get().statusCode() == 200 ? 1 : 0;
        }
        callers.shutdown();
        assertThat(fleet.runs("together")).isEqualTo(1);
        assertThat(answered).isPositive();
        assertThat(fleet.action(fleet.host("s2"), "together", "together-key").statusCode())
                .isEqualTo(200);
    }

    @Test
    void aRepeatAfterItsHostWasKilledDoesNotRunAgain() throws Exception {
        fleet.plainFaults("delayMillis=1500");
        HostProcess doomed = fleet.host("n1");
        CompletableFuture<HttpResponse<String>> first = async(doomed, "killed", "killed-key");
        Deployment.await("the action to reach its service", () -> runsOrZero("killed") == 1);
        doomed.kill();
        assertThat(first).failsWithin(Duration.ofSeconds(10)).withThrowableOfType(ExecutionException.class);
        HttpResponse<String> repeat = fleet.action(fleet.host("s1"), "killed", "killed-key");
        assertThat(SmallFleet.error(repeat).path("ran").asText()).isEqualTo("unknown");
        assertThat(fleet.runs("killed")).isEqualTo(1);
        doomed.start();
        fleet.deployment().awaitReady();
    }

    private static long runsOrZero(String name) throws InterruptedException {
        try {
            return fleet.runs(name);
        } catch (IOException e) {
            return 0;
        }
    }

    private static CompletableFuture<HttpResponse<String>> async(HostProcess host, String name, String key) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return fleet.action(host, name, key);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Test
    void anAnswerLostByTheServiceIsUnknownAndNeverRepeated() throws Exception {
        fleet.plainFaults("loseAnswers=1");
        HttpResponse<String> first = fleet.action(fleet.host("n1"), "lost", "lost-key");
        assertThat(SmallFleet.error(first).path("ran").asText()).isEqualTo("unknown");
        HttpResponse<String> repeat = fleet.action(fleet.host("n2"), "lost", "lost-key");
        assertThat(SmallFleet.error(repeat).path("ran").asText()).isEqualTo("unknown");
        assertThat(fleet.runs("lost")).isEqualTo(1);
    }

    @Test
    void anActionWithoutAKeyIsSentOnce() throws Exception {
        fleet.plainFaults("loseAnswers=1");
        URI address = fleet.host("n1").caller().resolve("/services/desk/actions/keyless");
        HttpResponse<String> answer = fleet.client().send(CallerClient.Call.post(address, fleet.bigKey(), "{}"));
        assertThat(answer.statusCode()).isEqualTo(502);
        assertThat(fleet.runs("keyless")).isEqualTo(1);
    }

    @Test
    void aClaimWhoseAnswerTheStoreLostRunsOnce() throws Exception {
        fleet.platformFaults("{\"loseAnswers\":1}");
        HttpResponse<String> answer = fleet.action(fleet.host("n1"), "store-lost", "store-lost-key");
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(fleet.runs("store-lost")).isEqualTo(1);
        assertThat(fleet.action(fleet.host("s1"), "store-lost", "store-lost-key")
                        .body())
                .isEqualTo(answer.body());
    }

    @Test
    void anotherBodyUnderTheSameKeyIsRefused() throws Exception {
        assertThat(fleet.action(fleet.host("n1"), "one", "same-key").statusCode())
                .isEqualTo(200);
        HttpResponse<String> other = fleet.action(fleet.host("s1"), "two", "same-key");
        assertThat(SmallFleet.error(other).path("type").asText()).isEqualTo("idempotency_key_reused");
        assertThat(fleet.runs("two")).isZero();
    }

    @Test
    void aFrozenHostThatWakesDoesNotRunItsActionASecondTime() throws Exception {
        fleet.plainFaults("delayMillis=500");
        HostProcess frozen = fleet.host("n2");
        CompletableFuture<HttpResponse<String>> first = async(frozen, "frozen", "frozen-key");
        Deployment.await("the action to reach its service", () -> runsOrZero("frozen") == 1);
        frozen.freeze();
        HttpResponse<String> repeat = fleet.action(fleet.host("s1"), "frozen", "frozen-key");
        assertThat(repeat.statusCode()).isEqualTo(409);
        frozen.thaw();
        assertThat(first.get().statusCode()).isEqualTo(200);
        assertThat(fleet.action(fleet.host("s1"), "frozen", "frozen-key").statusCode())
                .isEqualTo(200);
        assertThat(fleet.runs("frozen")).isEqualTo(1);
    }
}
