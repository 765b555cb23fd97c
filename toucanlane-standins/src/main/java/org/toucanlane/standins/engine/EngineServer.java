package org.toucanlane.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanlane.standins.http.LoopbackHttpServer;

/**
 * A model engine that repeats the words of the prompt with the timing set by its options.
 *
 * <p>Generates exactly {@code max_tokens} or {@code max_completion_tokens} tokens. Counts the requests it started and
 * finished, those cancelled by a disconnect, and those with a header that can carry a key. Thread-safe.
 */
public final class EngineServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int CACHED_PREFIX_CHARACTERS = 256;
    private static final Set<String> CREDENTIAL_HEADERS =
            Set.of("authorization", "cookie", "x-api-key", "proxy-authorization");

    private final EngineOptions options;
    private final Semaphore slots;
    private final LoopbackHttpServer server;
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong started = new AtomicLong();
    private final AtomicLong finished = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong cacheHits = new AtomicLong();
    private final AtomicLong keysSeen = new AtomicLong();
    private final Map<String, Boolean> prefixCache;
    private final DelayedLoadReporter load;
    private volatile boolean draining;
    private volatile long abortedAtNanos = System.nanoTime();

    private EngineServer(int port, EngineOptions options) throws IOException {
        this.options = options;
        this.slots = new Semaphore(options.slots(), true);
        this.prefixCache = Collections.synchronizedMap(new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                return size() > options.cachedPrefixes();
            }
        });
        this.load = new DelayedLoadReporter(options.loadLagMillis(), running::get, waiting::get);
        this.server = LoopbackHttpServer.start(port, this::handle);
    }

    /** Starts an engine on a loopback port; 0 selects an unused port. */
    public static EngineServer start(int port, EngineOptions options) throws IOException {
        return new EngineServer(port, options);
    }

    /** Returns the port on which the engine listens. */
    public int port() {
        return server.port();
    }

    /** Aborts every streamed response in progress. */
    public void abortStreams() {
        abortedAtNanos = System.nanoTime();
    }

    /** Sets whether the engine is draining; its load reports then say that it is not available. */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Returns the number of completion requests received. */
    public long started() {
        return started.get();
    }

    /** Returns the number of requests whose connection closed before the response was complete. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Returns the number of requests with a header that can carry a key. */
    public long keysSeen() {
        return keysSeen.get();
    }

    /** Returns the number of prompts whose prefix was in the cache. */
    public long cacheHits() {
        return cacheHits.get();
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        boolean hasCredentialHeader = exchange.getRequestHeaders().keySet().stream()
                .anyMatch(name -> CREDENTIAL_HEADERS.contains(name.toLowerCase(Locale.ROOT)));
        if (hasCredentialHeader) {
            keysSeen.incrementAndGet();
        }
        switch (exchange.getRequestURI().getPath()) {
            case "/v1/chat/completions" -> complete(exchange, true);
            case "/v1/completions" -> complete(exchange, false);
            case "/load" ->
                LoopbackHttpServer.respondJson(
                        exchange, 200, load.report(!draining).toString());
            case "/stats" -> LoopbackHttpServer.respondJson(exchange, 200, stats());
            default -> LoopbackHttpServer.respond(exchange, 404, "text/plain", new byte[0]);
        }
    }

    private String stats() {
        return JSON.createObjectNode()
                .put("started", started.get())
                .put("finished", finished.get())
                .put("cancelled", cancelled.get())
                .put("cacheHits", cacheHits.get())
                .put("keysSeen", keysSeen.get())
                .toString();
    }

    private void complete(HttpExchange exchange, boolean chat) throws IOException, InterruptedException {
        JsonNode request = JSON.readTree(exchange.getRequestBody().readAllBytes());
        Prompt prompt = Prompt.of(request);
        started.incrementAndGet();
        waiting.incrementAndGet();
        slots.acquire();
        waiting.decrementAndGet();
        running.incrementAndGet();
        try {
            prefill(prompt);
            Generation generation = new Generation(exchange, request, prompt, chat);
            if (request.path("stream").asBoolean()) {
                generation.sendStream();
            } else {
                generation.sendCompletion();
            }
            finished.incrementAndGet();
        } catch (StreamAbortedException e) {
            throw e;
        } catch (IOException e) {
            cancelled.incrementAndGet();
            throw e;
        } finally {
            running.decrementAndGet();
            slots.release();
        }
    }

    private void prefill(Prompt prompt) throws InterruptedException {
        boolean hit = prefixCache.put(prompt.prefix(), Boolean.TRUE) != null;
        if (hit) {
            cacheHits.incrementAndGet();
        }
        long tokens = hit ? prompt.tokens() / 10 : prompt.tokens();
        TimeUnit.MICROSECONDS.sleep(tokens * options.prefillMicrosPerToken());
    }

    private long stepMicros() {
        return options.stepMicros() + options.stepMicrosPerRunning() * running.get();
    }

    @Override
    public void close() {
        server.close();
    }

    /** Thrown to abort a streamed response. */
    private static final class StreamAbortedException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    /** A prompt, its length in tokens and the prefix that identifies it in the cache. */
    private record Prompt(String text, int tokens, String prefix) {

        static Prompt of(JsonNode request) {
            StringBuilder text = new StringBuilder(request.path("prompt").asText(""));
            request.path("messages")
                    .forEach(message -> text.append(message.path("content").asText()));
            String fullText = text.toString();
            return new Prompt(
                    fullText,
                    Math.max(1, fullText.length() / CHARACTERS_PER_TOKEN),
                    fullText.substring(0, Math.min(CACHED_PREFIX_CHARACTERS, fullText.length())));
        }
    }

    /** Generates the response to one request. */
    private final class Generation {

        private final HttpExchange exchange;
        private final JsonNode request;
        private final Prompt prompt;
        private final boolean chat;
        private final int tokens;
        private final String[] words;
        private final long startedAtNanos = System.nanoTime();

        Generation(HttpExchange exchange, JsonNode request, Prompt prompt, boolean chat) {
            this.exchange = exchange;
            this.request = request;
            this.prompt = prompt;
            this.chat = chat;
            this.tokens = request.has("max_completion_tokens")
                    ? request.path("max_completion_tokens").asInt()
                    : request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
            this.words = prompt.text().isBlank()
                    ? new String[] {"word"}
                    : prompt.text().strip().split("\\s+");
        }

        private String wordAt(int index) {
            return words[index % words.length] + ' ';
        }

        void sendStream() throws IOException, InterruptedException {
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, 0);
            OutputStream out = exchange.getResponseBody();
            long next = System.nanoTime();
            for (int i = 0; i < tokens; i++) {
                next += TimeUnit.MICROSECONDS.toNanos(stepMicros());
                TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
                if (abortedAtNanos - startedAtNanos > 0) {
                    throw new StreamAbortedException();
                }
                write(out, "data: " + chunk(wordAt(i), i) + "\n\n");
            }
            write(out, "data: [DONE]\n\n");
        }

        private void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        private String chunk(String word, int index) {
            ObjectNode chunk = newResponseObject(chat ? "chat.completion.chunk" : "text_completion");
            ObjectNode choice = chunk.putArray("choices").addObject();
            choice.put("index", 0);
            if (chat) {
                choice.putObject("delta").put("role", "assistant").put("content", word);
            } else {
                choice.put("text", word);
            }
            choice.put("finish_reason", index == tokens - 1 ? "length" : null);
            return chunk.toString();
        }

        void sendCompletion() throws IOException, InterruptedException {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < tokens; i++) {
                TimeUnit.MICROSECONDS.sleep(stepMicros());
                text.append(wordAt(i));
            }
            ObjectNode response = newResponseObject(chat ? "chat.completion" : "text_completion");
            ObjectNode choice = response.putArray("choices").addObject();
            choice.put("index", 0).put("finish_reason", "length");
            if (chat) {
                choice.putObject("message").put("role", "assistant").put("content", text.toString());
            } else {
                choice.put("text", text.toString());
            }
            response.putObject("usage")
                    .put("prompt_tokens", prompt.tokens())
                    .put("completion_tokens", tokens)
                    .put("total_tokens", prompt.tokens() + tokens);
            LoopbackHttpServer.respondJson(exchange, 200, response.toString());
        }

        private ObjectNode newResponseObject(String object) {
            return JSON.createObjectNode()
                    .put("id", "gen-" + exchange.getRequestHeaders().getFirst("X-Request-Id"))
                    .put("object", object)
                    .put("created", 0)
                    .put("model", request.path("model").asText());
        }
    }
}
