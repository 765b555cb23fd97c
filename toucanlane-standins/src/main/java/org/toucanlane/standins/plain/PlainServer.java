package org.toucanlane.standins.plain;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.toucanlane.standins.http.LoopbackHttpServer;

/**
 * A service in which a POST to a path is an action and a GET tells how often it ran.
 *
 * <p>{@code POST /faults?delayMillis=N&loseAnswers=N} makes it slow, or makes it run an action and break the connection.
 * {@code GET /stats} tells how often each path was acted on. Thread-safe.
 */
public final class PlainServer implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicLong delayMillis = new AtomicLong();
    private final AtomicInteger responsesToDrop = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final LoopbackHttpServer server;

    private PlainServer(int port) throws IOException {
        this.server = LoopbackHttpServer.start(port, this::handle);
    }

    /** Starts a service on {@code port}. */
    public static PlainServer start(int port) throws IOException {
        return new PlainServer(port);
    }

    /** Returns the port listened on. */
    public int port() {
        return server.port();
    }

    private void handle(HttpExchange exchange) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        switch (path) {
            case "/load" -> {
                String load = "{\"running\":" + running.get() + ",\"waiting\":0,\"available\":true}";
                LoopbackHttpServer.respondJson(exchange, 200, load);
            }
            case "/stats" -> {
                ObjectNode stats = JSON.createObjectNode();
                runs.forEach((key, count) -> stats.put(key, count.get()));
                LoopbackHttpServer.respondJson(exchange, 200, stats.toString());
            }
            case "/faults" -> {
                Map<String, String> query = LoopbackHttpServer.queryParameters(exchange);
                delayMillis.set(Long.parseLong(query.getOrDefault("delayMillis", "0")));
                responsesToDrop.set(Integer.parseInt(query.getOrDefault("loseAnswers", "0")));
                LoopbackHttpServer.respondJson(exchange, 200, "{}");
            }
            default -> handleAction(exchange, path);
        }
    }

    private void handleAction(HttpExchange exchange, String path) throws IOException, InterruptedException {
        running.incrementAndGet();
        try {
            exchange.getRequestBody().readAllBytes();
            AtomicInteger count = runs.computeIfAbsent(path, key -> new AtomicInteger());
            boolean action = !exchange.getRequestMethod().equals("GET");
            int runsNow = action ? count.incrementAndGet() : count.get();
            Thread.sleep(delayMillis.get());
            boolean lost = action && responsesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
            if (!lost) {
                LoopbackHttpServer.respondJson(exchange, 200, "{\"path\":\"" + path + "\",\"runs\":" + runsNow + '}');
            }
        } finally {
            running.decrementAndGet();
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
