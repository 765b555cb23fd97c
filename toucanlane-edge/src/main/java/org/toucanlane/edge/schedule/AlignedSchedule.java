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
     * Runs {@code task} periodically. Times that the loop has missed, because it was late, are left out. An exception of the
     * task doesn't end the repetition.
     */
    public static Repetition repeat(ScheduledExecutorService loop, Runnable task, Duration interval) {
        Repetition repetition = new Repetition(loop, task, interval);
        repetition.scheduleNext();
        return repetition;
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

    /** A task that is repeated until it is cancelled. Thread-safe. */
    public static final class Repetition {

        private final ScheduledExecutorService loop;
        private final Runnable task;
        private final Duration interval;
        private volatile boolean cancelled;

        private Repetition(ScheduledExecutorService loop, Runnable task, Duration interval) {
            this.loop = loop;
            this.task = task;
            this.interval = interval;
        }

        private void scheduleNext() {
            runNext(loop, this::run, interval);
        }

        private void run() {
            if (!cancelled) {
                scheduleNext();
                task.run();
            }
        }

        /** Ends the repetition. */
        public void cancel() {
            cancelled = true;
        }
    }
}
