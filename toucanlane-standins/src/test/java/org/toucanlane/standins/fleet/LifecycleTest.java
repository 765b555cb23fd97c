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

/** Tests host restarts, key withdrawal, engine failures and caller disconnects with real host processes. */
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
        AtomicBoolean running = new AtomicBoolean(true);
        AtomicInteger complete = new AtomicInteger();
        ConcurrentLinkedQueue<String> interrupted = new ConcurrentLinkedQueue<>();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            callers.add(CompletableFuture.runAsync(() -> callUntilStopped(running, complete, interrupted)));
        }
        for (HostProcess host : fleet.deployment().hosts().values()) {
            assertThat(host.stop())
                    .as("%s stopped within the timeout", host.name())
                    .isTrue();
            host.start();
            fleet.deployment().awaitReady();
        }
        running.set(false);
        callers.forEach(CompletableFuture::join);
        assertThat(interrupted)
                .as("interrupted requests; %s were complete", complete)
                .isEmpty();
        assertThat(complete.get()).isGreaterThan(100);
    }

    /** Streams requests until {@code running} is false, each to a host that the host directory lists, as clients do. */
    private static void callUntilStopped(
            AtomicBoolean running, AtomicInteger complete, ConcurrentLinkedQueue<String> interrupted) {
        while (running.get()) {
            HostProcess host = findListedHost();
            try {
                long events;
                HttpResponse<Stream<String>> response = stream(host, fleet.bigKey(), 40);
                try (Stream<String> body = response.body()) {
                    events = body.filter(line -> line.startsWith("data:")).count();
                }
                if (response.statusCode() == 200 && events == 41) {
                    complete.incrementAndGet();
                } else if (response.statusCode() != 503) {
                    interrupted.add(host.name() + ": " + response.statusCode() + " with " + events + " events");
                }
            } catch (IOException | UncheckedIOException e) {
                interrupted.add(host.name() + ": " + e);
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
                    HttpResponse<String> directory = fleet.client()
                            .send(CallerClient.Call.get(host.callerUri().resolve("/v1/hosts"), fleet.bigKey()));
                    for (HostProcess listed : fleet.deployment().hosts().values()) {
                        if (directory.body().contains('"' + listed.callerUri().toString() + '"')) {
                            return listed;
                        }
                    }
                } catch (IOException ignored) {
                    // Try the next host.
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
        HttpResponse<Stream<String>> response = stream(fleet.host("n1"), key, 2000);
        CompletableFuture<List<String>> lines = CompletableFuture.supplyAsync(() -> readUntilBroken(response.body()));
        fleet.deployment().withdrawKey(key);
        assertThat(fleet.deployment().publish().exitCode()).isZero();
        List<String> received = lines.join();
        assertThat(received).as("lines of the withdrawn key's stream").doesNotContain("data: [DONE]");
        assertThat(received).anyMatch(line -> line.contains("key_withdrawn"));
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
        HttpResponse<Stream<String>> response = stream(broken.host("s1"), broken.southernKey(), 2000);
        CompletableFuture<List<String>> lines = CompletableFuture.supplyAsync(() -> readUntilBroken(response.body()));
        Deployment.await("the stream to run", () -> !lines.isDone());
        EngineServer engine = broken.deployment().engines().get("m-s1");
        engine.abortStreams();
        List<String> received = lines.join();
        assertThat(received).doesNotContain("data: [DONE]").endsWith("(broken)");
        assertThat(received).anyMatch(line -> line.contains("answer_incomplete"));
    }

    @Test
    void drainingEngineGetsNoNewRequestsAfterThreeSeconds() throws Exception {
        EngineServer draining = fleet.deployment().engines().get("m-n1");
        draining.setDraining(true);
        Thread.sleep(3000);
        long before = draining.started();
        for (int i = 0; i < 40; i++) {
            assertThat(fleet.sendChat(fleet.host("n" + (1 + i % 2)), fleet.bigKey(), 1)
                            .statusCode())
                    .isEqualTo(200);
        }
        assertThat(draining.started()).isEqualTo(before);
        draining.setDraining(false);
    }

    @Test
    void callerDisconnectCancelsEngineRequest() throws Exception {
        long before = cancelled();
        HttpResponse<Stream<String>> response = stream(fleet.host("n1"), fleet.bigKey(), 3000);
        response.body().close();
        Deployment.await("an engine to detect the disconnect", () -> cancelled() > before);
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
        ChatCompletionCreateParams request = ChatCompletionCreateParams.builder()
                .model("m")
                .maxCompletionTokens(5)
                .addUserMessage("one two three")
                .build();
        ChatCompletion complete = client.chat().completions().create(request);
        assertThat(complete.usage().orElseThrow().completionTokens()).isEqualTo(5);
        try (StreamResponse<ChatCompletionChunk> stream =
                client.chat().completions().createStreaming(request)) {
            assertThat(stream.stream().count()).isEqualTo(5);
        }
        assertThat(client.models().list().data()).anyMatch(model -> model.id().equals("m"));
        OpenAIClient unauthorizedClient = openAiClient("tl-no-key");
        assertThatThrownBy(() -> unauthorizedClient.chat().completions().create(request))
                .isInstanceOf(UnauthorizedException.class);
        client.close();
        unauthorizedClient.close();
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
        HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(508);
        assertThat(FleetFixture.error(response).path("ran").asText()).isEqualTo("not_run");
    }
}
