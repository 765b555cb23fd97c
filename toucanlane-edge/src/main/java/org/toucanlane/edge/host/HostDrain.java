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

    /** Time for which the last responses may be sent after all requests have been ended. */
    private static final Duration FLUSH_TIME = Duration.ofMillis(300);

    private final EventLoop loop;
    private final List<HttpServer> servers;
    private final Duration minTime;
    private final Duration maxTime;
    private final CompletableFuture<Result> result = new CompletableFuture<>();
    private long startNanos;
    private ScheduledFuture<?> timer;
    private boolean requestsEnded;
    private long aborted;

    /**
     * Creates a drain that has not started.
     *
     * @param minTime time for which the servers are kept open even if they are idle
     * @param maxTime time after which requests in progress are ended
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
        if (idle || elapsed.compareTo(maxTime.plus(FLUSH_TIME)) >= 0) {
            timer.cancel(false);
            servers.forEach(HttpServer::close);
            result.complete(new Result(aborted, busy, elapsed));
        } else if (!requestsEnded && elapsed.compareTo(maxTime) >= 0) {
            requestsEnded = true;
            aborted = busy;
            servers.forEach(HttpServer::endRequests);
        }
    }

    /** Returns a future that completes when all servers are closed. It may be used on any thread. */
    CompletableFuture<Result> result() {
        return result;
    }

    /**
     * The outcome of a drain.
     *
     * @param aborted number of connections whose requests were ended because the time was over
     * @param unsent number of connections that were closed before their response had been sent completely
     * @param elapsed time from the start of the drain to its end
     */
    record Result(long aborted, long unsent, Duration elapsed) {}
}
