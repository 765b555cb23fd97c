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
import org.toucanlane.standins.http.SmallServer;

/**
 * The platform's key-value service and its lagging list of hosts, as {@code docs/STORE-PROTOCOL.md} describes them, with
 * faults that can be turned on. Thread-safe.
 */
public final class PlatformServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String KV = "/v1/kv/";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final MemoryStore store = new MemoryStore();
    private final SmallServer server;
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicInteger answersToLose = new AtomicInteger();
    private final Deque<Long> recentWrites = new ArrayDeque<>();
    private final HostList hosts = new HostList();
    private volatile boolean down;
    private volatile long delayMillis;
    private volatile int writesPerSecond = 300;

    private PlatformServer(int port) throws IOException {
        this.server = SmallServer.start(port, this::handle);
    }

    /** Starts the platform on {@code port}. */
    public static PlatformServer start(int port) throws IOException {
        return new PlatformServer(port);
    }

    /** Returns the port listened on. */
    public int port() {
        return server.port();
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getRawPath();
        if (path.equals("/faults")) {
            setFaults(exchange);
        } else if (path.equals("/stats")) {
            SmallServer.json(exchange, 200, stats());
        } else if (down) {
            return;
        } else if (path.startsWith(KV)) {
            Thread.sleep(delayMillis);
            handleKey(exchange, URLDecoder.decode(path.substring(KV.length()), StandardCharsets.UTF_8));
        } else if (path.endsWith("/v1/hosts")) {
            handleHosts(exchange, path);
        } else {
            SmallServer.answer(exchange, 404, "text/plain", new byte[0]);
        }
    }

    private void setFaults(HttpExchange exchange) throws IOException {
        JsonNode faults = JSON.readTree(exchange.getRequestBody());
        down = faults.path("down").asBoolean(down);
        delayMillis = faults.path("delayMillis").asLong(delayMillis);
        writesPerSecond = faults.path("writesPerSecond").asInt(writesPerSecond);
        answersToLose.set(faults.path("loseAnswers").asInt(0));
        SmallServer.json(exchange, 200, "{}");
    }

    private String stats() {
        return JSON.createObjectNode()
                .put("reads", reads.get())
                .put("writes", writes.get())
                .put("watches", watches.get())
                .put("rejected", rejected.get())
                .toString();
    }

    private void handleKey(HttpExchange exchange, String key) throws IOException {
        Map<String, String> query = SmallServer.query(exchange);
        if (exchange.getRequestMethod().equals("PUT")) {
            write(exchange, key, Long.parseLong(query.get("expected")));
        } else if (query.containsKey("after")) {
            watches.incrementAndGet();
            Duration wait = Duration.ofMillis(Long.parseLong(query.get("waitMillis")));
            answer(exchange, store.watch(key, Long.parseLong(query.get("after")), wait), 304);
        } else {
            reads.incrementAndGet();
            answer(exchange, store.get(key), 404);
        }
    }

    private static void answer(HttpExchange exchange, Optional<VersionedValue> value, int otherwise)
            throws IOException {
        if (value.isEmpty()) {
            SmallServer.answer(exchange, otherwise, "text/plain", new byte[0]);
            return;
        }
        exchange.getResponseHeaders()
                .set(
                        HttpKeyValueStore.REVISION_HEADER,
                        Long.toString(value.get().revision()));
        SmallServer.answer(
                exchange, 200, "application/octet-stream", value.get().value());
    }

    private void write(HttpExchange exchange, String key, long expected) throws IOException {
        byte[] value = exchange.getRequestBody().readAllBytes();
        if (!admitWrite()) {
            rejected.incrementAndGet();
            SmallServer.answer(exchange, 429, "text/plain", new byte[0]);
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
        boolean lost = answersToLose.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
        if (lost) {
            return;
        }
        exchange.getResponseHeaders().set(HttpKeyValueStore.REVISION_HEADER, Long.toString(revision));
        SmallServer.answer(exchange, status, "text/plain", new byte[0]);
    }

    private boolean admitWrite() {
        synchronized (recentWrites) {
            long now = System.nanoTime();
            while (!recentWrites.isEmpty() && now - recentWrites.peek() > NANOS_PER_SECOND) {
                recentWrites.poll();
            }
            boolean room = recentWrites.size() < writesPerSecond;
            if (room) {
                recentWrites.add(now);
            }
            return room;
        }
    }

    private void handleHosts(HttpExchange exchange, String path) throws IOException {
        if (exchange.getRequestMethod().equals("PUT")) {
            hosts.replace(JSON.readTree(exchange.getRequestBody()));
            SmallServer.json(exchange, 200, "{}");
        } else {
            String viewer = path.startsWith("/for/") ? path.split("/")[2] : "";
            SmallServer.json(exchange, 200, hosts.seenBy(viewer).toString());
        }
    }

    /** Returns the store behind the server. */
    public KeyValueStore store() {
        return store;
    }

    @Override
    public void close() {
        server.close();
    }
}
