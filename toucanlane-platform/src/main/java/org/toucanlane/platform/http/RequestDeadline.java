package org.toucanlane.platform.http;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;

/**
 * Aborts a request that isn't closed in time, since a response timeout applies to each read only.
 *
 * <p>Thread-safe.
 */
public final class RequestDeadline implements AutoCloseable {

    private static final ScheduledThreadPoolExecutor TIMER = newTimer();

    private final ScheduledFuture<?> abort;
    private volatile boolean expired;

    private RequestDeadline(HttpUriRequestBase request, Duration maxTime) {
        this.abort = TIMER.schedule(() -> expire(request), maxTime.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static ScheduledThreadPoolExecutor newTimer() {
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(
                1,
                new ThreadFactoryBuilder()
                        .setNameFormat("request-deadline-%d")
                        .setDaemon(true)
                        .build());
        timer.setRemoveOnCancelPolicy(true);
        return timer;
    }

    /** Starts the time of {@code request}. */
    public static RequestDeadline start(HttpUriRequestBase request, Duration maxTime) {
        return new RequestDeadline(request, maxTime);
    }

    private void expire(HttpUriRequestBase request) {
        expired = true;
        request.abort();
    }

    /** Returns whether the request was aborted. */
    public boolean isExpired() {
        return expired;
    }

    /** Ends the time of the request. */
    @Override
    public void close() {
        abort.cancel(false);
    }
}
