package org.toucanlane.standins.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on the loopback interface that handles each request in its own thread. Thread-safe. */
public final class LoopbackHttpServer implements AutoCloseable {

    private static final int BACKLOG = 1024;

    private final HttpServer server;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "10000");
    }

    private LoopbackHttpServer(HttpServer server) {
        this.server = server;
        server.setExecutor(executor);
    }

    /** Starts a server on a loopback port; 0 selects an unused port. */
    public static LoopbackHttpServer start(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        server.createContext("/", exchange -> serve(exchange, handler));
        LoopbackHttpServer started = new LoopbackHttpServer(server);
        server.start();
        return started;
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            handler.handle(exchange);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            respond(exchange, 500, "text/plain", e.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Sends a response with a complete body. */
    public static void respond(HttpExchange exchange, int status, String type, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
    }

    /** Sends a response with a JSON body. */
    public static void respondJson(HttpExchange exchange, int status, String text) throws IOException {
        respond(exchange, status, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the decoded query parameters of a request. */
    public static Map<String, String> queryParameters(HttpExchange exchange) {
        Map<String, String> parameters = new TreeMap<>();
        String query = exchange.getRequestURI().getRawQuery();
        if (query != null) {
            for (String pair : query.split("&")) {
                int separator = pair.indexOf('=');
                parameters.put(
                        pair.substring(0, separator),
                        URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getAddress().getPort();
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    /** Handles requests. The connection is closed if a handler returns without sending a response. */
    @FunctionalInterface
    public interface Handler {
        void handle(HttpExchange exchange) throws IOException, InterruptedException;
    }
}
