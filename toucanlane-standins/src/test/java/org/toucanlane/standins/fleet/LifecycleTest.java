package org.toucanlane.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.UnauthorizedException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.toucanlane.standins.engine.EngineServer;

/** Real processes that come and go, keys that are withdrawn, endpoints that break and leave. */
class LifecycleTest {

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

    private static HttpResponse<Stream<String>> stream(HostProcess host, String key, int tokens)
            throws IOException, InterruptedException {
        URI address = host.callerUri().resolve("/v1/chat/completions");
        return fleet.client().stream(
                CallerClient.Call.post(address, key, CallerClient.chatBody("m", "a b c", tokens, true)));
    }

    @Test
    void rollingRestartUnderLoadInterruptsNoRequest() throws Exception {
        AtomicBoolean going = new AtomicBoolean(true);
        AtomicInteger whole = new AtomicInteger();
        ConcurrentLinkedQueue<String> cut = new ConcurrentLinkedQueue<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            callers.add(CompletableFuture.runAsync(() -> callUntilStopped(going, whole, cut)));
        }
        for (HostProcess host : fleet.deployment().hosts().values()) {
            assertThat(host.stop()).as("%s stopped in time", host.name()).isTrue();
            host.start();
            fleet.deployment().awaitReady();
        }
        going.set(false);
        callers.forEach(CompletableFuture::join);
        assertThat(cut).as("cut requests, %s were whole", whole).isEmpty();
        assertThat(whole.get()).isGreaterThan(100);
    }

    /** Calls like a client that asks the directory and keeps to its answer for a while. */
    private static void callUntilStopped(AtomicBoolean going, AtomicInteger whole, ConcurrentLinkedQueue<String> cut) {
        while (going.get()) {
            HostProcess host = findListedHost();
            try {
                long events;
                HttpResponse<Stream<String>> answer = stream(host, fleet.bigKey(), 40);
                try (Stream<String> body = answer.body()) {
                    events = body.filter(line -> line.startsWith("data:")).count();
                }
                if (answer.statusCode() == 200 && events == 41) {
                    whole.incrementAndGet();
                } else if (answer.statusCode() != 503) {
                    cut.add(host.name() + ": " + answer.statusCode() + " with " + events + " events");
                }
            } catch (IOException | UncheckedIOException e) {
                cut.add(host.name() + ": " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static HostProcess findListedHost() {
        while (true) {
            for (HostProcess host : fleet.deployment().hosts().values()) {
                try {
                    HttpResponse<String> listing = fleet.client()
                            .send(CallerClient.Call.get(host.callerUri().resolve("/v1/hosts"), fleet.bigKey()));
                    for (HostProcess named : fleet.deployment().hosts().values()) {
                        if (listing.body().contains('"' + named.callerUri().toString() + '"')) {
                            return named;
                        }
                    }
                } catch (IOException ignored) {
                    // The next host may answer.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return host;
                }
            }
        }
    }

    @Test
    void withdrawnKeyEndsOpenStreamAndIsRejectedByEveryHost() throws Exception {
        String key = fleet.deployment().issueKey("big");
        assertThat(fleet.deployment().publish().exitCode()).isZero();
        HttpResponse<Stream<String>> open = stream(fleet.host("n1"), key, 2000);
        CompletableFuture<List<String>> lines = CompletableFuture.supplyAsync(() -> readUntilBroken(open.body()));
        fleet.deployment().withdrawKey(key);
        assertThat(fleet.deployment().publish().exitCode()).isZero();
        List<String> read = lines.join();
        assertThat(read).as("the stream did not end as whole").doesNotContain("data: [DONE]");
        assertThat(read).anyMatch(line -> line.contains("key_withdrawn"));
        for (HostProcess host : fleet.deployment().hosts().values()) {
            assertThat(fleet.sendChat(host, key, 1).statusCode()).isEqualTo(401);
        }
    }

    private static List<String> readUntilBroken(Stream<String> body) {
        List<String> lines = new ArrayList<>();
        try (body) {
            body.forEach(lines::add);
        } catch (UncheckedIOException expected) {
            lines.add("(broken)");
        }
        return lines;
    }

    @Test
    void streamAbortedByEngineIsNotReportedAsComplete() throws Exception {
        FleetFixture broken = fleet;
        HttpResponse<Stream<String>> open = stream(broken.host("s1"), broken.southernKey(), 2000);
        CompletableFuture<List<String>> lines = CompletableFuture.supplyAsync(() -> readUntilBroken(open.body()));
        Deployment.await("the stream to run", () -> !lines.isDone());
        EngineServer engine = broken.deployment().engines().get("m-s1");
        engine.abortStreams();
        List<String> read = lines.join();
        assertThat(read).doesNotContain("data: [DONE]").endsWith("(broken)");
        assertThat(read).anyMatch(line -> line.contains("answer_incomplete"));
    }

    @Test
    void drainingEngineGetsNoNewRequestsAfterThreeSeconds() throws Exception {
        EngineServer leaving = fleet.deployment().engines().get("m-n1");
        leaving.setDraining(true);
        Thread.sleep(3000);
        long before = leaving.started();
        for (int i = 0; i < 40; i++) {
            assertThat(fleet.sendChat(fleet.host("n" + (1 + i % 2)), fleet.bigKey(), 1)
                            .statusCode())
                    .isEqualTo(200);
        }
        assertThat(leaving.started()).isEqualTo(before);
        leaving.setDraining(false);
    }

    @Test
    void callerDisconnectCancelsEngineRequest() throws Exception {
        long before = cancelled();
        HttpResponse<Stream<String>> open = stream(fleet.host("n1"), fleet.bigKey(), 3000);
        open.body().close();
        Deployment.await("an engine to notice", () -> cancelled() > before);
        assertThat(cancelled()).isEqualTo(before + 1);
    }

    private static long cancelled() {
        return fleet.deployment().engines().values().stream()
                .mapToLong(EngineServer::cancelled)
                .sum();
    }

    @Test
    void openAiClientWorksUnchanged() {
        OpenAIClient client = openAiClient(fleet.bigKey());
        ChatCompletionCreateParams question = ChatCompletionCreateParams.builder()
                .model("m")
                .maxCompletionTokens(5)
                .addUserMessage("one two three")
                .build();
        ChatCompletion whole = client.chat().completions().create(question);
        assertThat(whole.usage().orElseThrow().completionTokens()).isEqualTo(5);
        try (StreamResponse<ChatCompletionChunk> stream =
                client.chat().completions().createStreaming(question)) {
            assertThat(stream.stream().count()).isEqualTo(5);
        }
        assertThat(client.models().list().data()).anyMatch(model -> model.id().equals("m"));
        OpenAIClient stranger = openAiClient("tl-no-key");
        assertThatThrownBy(() -> stranger.chat().completions().create(question))
                .isInstanceOf(UnauthorizedException.class);
        client.close();
        stranger.close();
    }

    private static OpenAIClient openAiClient(String key) {
        return OpenAIOkHttpClient.builder()
                .baseUrl(fleet.host("s1").callerUri().resolve("/v1").toString())
                .apiKey(key)
                .build();
    }

    @Test
    void keysAreNotForwardedToEndpoints() throws Exception {
        for (HostProcess host : fleet.deployment().hosts().values()) {
            fleet.sendChat(host, fleet.southernKey(), 1);
            fleet.sendAction(host, "keys", UUID.randomUUID().toString());
        }
        assertThat(fleet.deployment().engines().values()).allMatch(engine -> engine.keysSeen() == 0);
    }

    @Test
    void forwardingLoopIsRejected() throws Exception {
        URI address = fleet.host("n1").callerUri().resolve("/v1/chat/completions");
        HttpRequest request = HttpRequest.newBuilder(address)
                .header("Authorization", "Bearer " + fleet.bigKey())
                .header("Via", "1.1 toucanlane")
                .POST(HttpRequest.BodyPublishers.ofString(CallerClient.chatBody("m", "x", 1, false)))
                .build();
        HttpResponse<String> answer = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(508);
        assertThat(FleetFixture.error(answer).path("ran").asText()).isEqualTo("not_run");
    }
}
