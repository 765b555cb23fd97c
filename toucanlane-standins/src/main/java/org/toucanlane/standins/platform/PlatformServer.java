package org.toucanlane.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.VersionedValue;
import org.toucanlane.platform.store.HttpKeyValueStore;
import org.toucanlane.standins.http.LoopbackHttpServer;

/**
 * The platform's key-value service and delayed host list as specified in {@code docs/STORE-PROTOCOL.md}, with faults that
 * requests to {@code /faults} turn on. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KEY_PATH_PREFIX = "/v1/kv/";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    private final LoopbackHttpServer server;
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final AtomicLong rejectedWrites = new AtomicLong();
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final Deque<Long> recentWriteTimes = new ArrayDeque<>();
    private final DelayedHostList hosts = new DelayedHostList();
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile int writesPerSecond = 300;

    private PlatformServer(int port) throws IOException {
        this.server = LoopbackHttpServer.start(port, this::handle);
    }

    /** Starts a platform on a loopback port; 0 selects an unused port. */
    public static PlatformServer start(int port) throws IOException {
        return new PlatformServer(port);
    }

    /** Returns the port on which the platform listens. */
    public int port() {
        return server.port();
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getRawPath();
        if (path.equals("/faults")) {
            setFaults(exchange);
        } else if (path.equals("/stats")) {
            LoopbackHttpServer.respondJson(exchange, 200, stats());
        } else if (down) {
            return;
        } else if (path.startsWith(KEY_PATH_PREFIX)) {
            Thread.sleep(delayMillis);
            handleKey(exchange, URLDecoder.decode(path.substring(KEY_PATH_PREFIX.length()), StandardCharsets.UTF_8));
        } else if (path.endsWith("/v1/hosts")) {
            handleHosts(exchange, path);
        } else {
            LoopbackHttpServer.respond(exchange, 404, "text/plain", new byte[0]);
        }
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        JsonNode faults = JSON.readTree(exchange.getRequestBody());
        down = faults.path("down").asBoolean(down);
        delayMillis = faults.path("delayMillis").asLong(delayMillis);
        writesPerSecond = faults.path("writesPerSecond").asInt(writesPerSecond);
        responsesToDrop.set(faults.path("loseAnswers").asInt(0));
        LoopbackHttpServer.respondJson(exchange, 200, "{}");
    }

    private String stats() {
        return JSON.createObjectNode()
                .put("reads", reads.get())
                .put("writes", writes.get())
                .put("watches", watches.get())
                .put("rejected", rejectedWrites.get())
                .toString();
    }

    private void handleKey(HttpExchange exchange, String key) throws IOException {
        Map<String, String> query = LoopbackHttpServer.queryParameters(exchange);
        if (exchange.getRequestMethod().equals("PUT")) {
            handleWrite(exchange, key, Long.parseLong(query.get("expected")));
        } else if (query.containsKey("after")) {
            watches.incrementAndGet();
            Duration wait = Duration.ofMillis(Long.parseLong(query.get("waitMillis")));
            sendValue(exchange, store.watch(key, Long.parseLong(query.get("after")), wait), 304);
        } else {
            reads.incrementAndGet();
            sendValue(exchange, store.get(key), 404);
        }
    }

    private static void sendValue(HttpExchange exchange, Optional<VersionedValue> value, int statusIfEmpty)
            throws IOException {
        if (value.isEmpty()) {
            LoopbackHttpServer.respond(exchange, statusIfEmpty, "text/plain", new byte[0]);
            return;
        }
        exchange.getResponseHeaders()
                .set(
                        HttpKeyValueStore.REVISION_HEADER,
                        Long.toString(value.get().revision()));
        LoopbackHttpServer.respond(
                exchange, 200, "application/octet-stream", value.get().value());
    }

    private void handleWrite(HttpExchange exchange, String key, long expected) throws IOException {
        byte[] value = exchange.getRequestBody().readAllBytes();
        if (!tryAdmitWrite()) {
            rejectedWrites.incrementAndGet();
            LoopbackHttpServer.respond(exchange, 429, "text/plain", new byte[0]);
            return;
        }
        writes.incrementAndGet();
        long revision;
        int status = 200;
        try {
            revision = store.compareAndSwap(key, value, expected);
        } catch (StoreConflictException e) {
            revision = e.actualRevision();
            status = 412;
        }
        boolean dropped = responsesToDrop.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
        if (dropped) {
            return;
        }
        exchange.getResponseHeaders().set(HttpKeyValueStore.REVISION_HEADER, Long.toString(revision));
        LoopbackHttpServer.respond(exchange, status, "text/plain", new byte[0]);
    }

    private boolean tryAdmitWrite() {
        synchronized (recentWriteTimes) {
            long now = System.nanoTime();
            while (!recentWriteTimes.isEmpty() && now - recentWriteTimes.peek() > NANOS_PER_SECOND) {
                recentWriteTimes.poll();
            }
            boolean admitted = recentWriteTimes.size() < writesPerSecond;
            if (admitted) {
                recentWriteTimes.add(now);
            }
            return admitted;
        }
    }

    private void handleHosts(HttpExchange exchange, String path) throws IOException {
        if (exchange.getRequestMethod().equals("PUT")) {
            hosts.replace(JSON.readTree(exchange.getRequestBody()));
            LoopbackHttpServer.respondJson(exchange, 200, "{}");
        } else {
            String viewer = path.startsWith("/for/") ? path.split("/")[2] : "";
            LoopbackHttpServer.respondJson(exchange, 200, hosts.viewFor(viewer).toString());
        }
    }

    /** Returns the store that backs the key-value service. */
    public KeyValueStore store() {
        return store;
    }

    @Override
    public void close() {
        server.close();
    }
}
