package org.toucanlane.edge.host;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.toucanlane.edge.http.HttpServer;

/**
 * Waits until the servers of a draining host have no request in progress, and closes them.
 *
 * <p>Invariant: the check that no request is in progress and the closing of all connections are one task of the event
 * loop, so that no request is read between them. Confined to the event loop, except for {@link #result}.
 */
final class HostDrain {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private final EventLoop loop;
    private final List<HttpServer> servers;
    private final Duration minTime;
    private final Duration maxTime;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private long startNanos;
    private ScheduledFuture<?> timer;

    /**
     * Creates a drain that has not started.
     *
     * @param minTime time for which the servers are kept open even if they are idle
     * @param maxTime time after which the servers are closed even if requests are in progress
     */
    HostDrain(EventLoop loop, List<HttpServer> servers, Duration minTime, Duration maxTime) {
        this.loop = loop;
        this.servers = servers;
        this.minTime = minTime;
        this.maxTime = maxTime;
    }

    void start() {
        startNanos = System.nanoTime();
        timer = loop.scheduleAtFixedRate(
                this::poll, POLL_INTERVAL.toMillis(), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void poll() {
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        long busy = servers.stream().mapToLong(HttpServer::busyConnections).sum();
        boolean idle = busy == 0 && elapsed.compareTo(minTime) >= 0;
        if (idle || elapsed.compareTo(maxTime) >= 0) {
            timer.cancel(false);
            servers.forEach(HttpServer::close);
            result.complete(new Result(busy, elapsed));
        }
    }

    /** Returns a future that completes when all servers are closed. It may be used on any thread. */
    CompletableFuture<Result> result() {
        return result;
    }

    /**
     * The outcome of a drain.
     *
     * @param aborted number of connections that were closed with a request in progress or a response not sent completely
     * @param elapsed time from the start of the drain to its end
     */
    record Result(long aborted, Duration elapsed) {}
}
