package org.toucanlane.edge.schedule;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs periodic tasks at multiples of their intervals since the start of the process, so that one wake-up of the event
 * loop serves all tasks that are due.
 *
 * <p>Invariant: two tasks whose intervals have a common multiple are due at the same time at that multiple. Hosts start at
 * different times, so that the tasks of different hosts are not due together. Thread-safe.
 */
public final class AlignedSchedule {

    private static final long ORIGIN_NANOS = System.nanoTime();

    private AlignedSchedule() {}

    /**
     * Runs {@code task} periodically until the returned future is cancelled. As with {@link
     * ScheduledExecutorService#scheduleAtFixedRate}, an exception ends the repetition.
     */
    public static ScheduledFuture<?> repeat(ScheduledExecutorService loop, Runnable task, Duration interval) {
        long nanos = interval.toNanos();
        return loop.scheduleAtFixedRate(
                task, nanosToNext(System.nanoTime() - ORIGIN_NANOS, nanos), nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs {@code task} once, at the next multiple of {@code interval}. */
    public static ScheduledFuture<?> runNext(ScheduledExecutorService loop, Runnable task, Duration interval) {
        return loop.schedule(
                task, nanosToNext(System.nanoTime() - ORIGIN_NANOS, interval.toNanos()), TimeUnit.NANOSECONDS);
    }

    /** Returns the time from {@code elapsed} to the next multiple of {@code interval}, at least half an interval. */
    static long nanosToNext(long elapsed, long interval) {
        Preconditions.checkArgument(interval > 0, "interval must be positive: %s", interval);
        long remaining = interval - Math.floorMod(elapsed, interval);
        return remaining * 2 < interval ? remaining + interval : remaining;
    }
}
