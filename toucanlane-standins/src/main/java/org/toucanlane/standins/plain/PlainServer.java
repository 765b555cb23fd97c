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
 * A plain HTTP service in which each path is an action: a POST runs it and a GET returns how often it ran.
 *
 * <p>{@code POST /faults?delayMillis=N&loseAnswers=N} delays each response by {@code delayMillis}, and makes the service
 * run the next {@code loseAnswers} actions and close the connection without a response. {@code GET /stats} returns how
 * often the action of each path ran. Thread-safe.
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

    /** Starts a service on a loopback port; 0 selects an unused port. */
    public static PlainServer start(int port) throws IOException {
        return new PlainServer(port);
    }

    /** Returns the port on which the service listens. */
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
                runs.forEach((key, runCount) -> stats.put(key, runCount.get()));
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
            AtomicInteger runCount = runs.computeIfAbsent(path, key -> new AtomicInteger());
            boolean isAction = !exchange.getRequestMethod().equals("GET");
            int runsNow = isAction ? runCount.incrementAndGet() : runCount.get();
            Thread.sleep(delayMillis.get());
            boolean dropped = isAction && responsesToDrop.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
            if (!dropped) {
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
