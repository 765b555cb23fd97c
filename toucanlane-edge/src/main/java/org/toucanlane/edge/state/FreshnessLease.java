package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * A lease on this host's copy of the configuration: while it is valid, the host may act on the copy as current.
 *
 * <p>The age counts from the time at which the confirming request was sent, so a slow response extends the lease by
 * less. The monotonic clock may not advance while the process is suspended; a change of the offset between that clock
 * and the wall clock therefore ends the lease. Not thread-safe: confined to one thread.
 */
public final class FreshnessLease {

    /**
     * Change of the clock offset that is tolerated as drift or wall clock adjustment rather than taken as a suspension.
     */
    private static final long CLOCK_TOLERANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private final long validityNanos;
    private boolean renewed;
    private long renewedAt;
    private long clockOffset;
    private Runnable onClockJump = () -> {};

    /**
     * Creates an expired lease.
     *
     * @param validity how long a response of the store is considered current
     */
    public FreshnessLease(LongSupplier monotonicNanos, LongSupplier wallMillis, Duration validity) {
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
        this.validityNanos = validity.toNanos();
        this.clockOffset = clockOffset();
    }

    /** Returns the present monotonic time in nanoseconds, of the clock by which the lease is measured. */
    long monotonicNanos() {
        return monotonicNanos.getAsLong();
    }

    /** Returns the present wall-clock time in Unix milliseconds. */
    long wallMillis() {
        return wallMillis.getAsLong();
    }

    /** Sets the action to run when a clock jump is detected, which should renew the lease immediately. */
    public void onClockJump(Runnable action) {
        onClockJump = action;
    }

    private long clockOffset() {
        return wallMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    }

    /** Returns whether the clock offset is unchanged within the tolerance; if not, ends the lease. */
    public boolean checkClocks() {
        long offset = clockOffset();
        if (Math.abs(offset - clockOffset) <= CLOCK_TOLERANCE_NANOS) {
            return true;
        }
        clockOffset = offset;
        renewed = false;
        onClockJump.run();
        return false;
    }

    /**
     * Renews the lease: the copy contains everything that had been written when a request was sent.
     *
     * @param sentAt monotonic time at which the request was sent
     */
    public void renew(long sentAt) {
        if (checkClocks() && (!renewed || sentAt - renewedAt > 0)) {
            renewed = true;
            renewedAt = sentAt;
        }
    }

    /** Ends the lease until its next renewal. */
    public void end() {
        renewed = false;
    }

    /** Returns whether the lease is valid. */
    public boolean isValid() {
        return checkClocks() && renewed && monotonicNanos.getAsLong() - renewedAt <= validityNanos;
    }

    /** Returns the time since the latest renewal in milliseconds, or -1 if there is none. */
    public long ageMillis() {
        return renewed ? (monotonicNanos.getAsLong() - renewedAt) / NANOS_PER_MILLI : -1;
    }
}
