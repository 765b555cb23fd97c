package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * A lease on what this host knows of the configuration: for how long it may act as if nothing had changed since.
 *
 * <p>Its age counts from the sending of the question, so a late answer proves less. A process that was suspended does
 * not see the time pass on its monotonic clock; a gap between that clock and the time of day ends the lease. Used on
 * one thread only.
 */
public final class FreshnessLease {

    /** Difference of the two clocks that is no sign of a suspension: drift and adjustments of the time of day. */
    private static final long CLOCK_TOLERANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private final long validityNanos;
    private boolean renewed;
    private long renewedAt;
    private long clockGap;
    private Runnable onClockJump = () -> {};

    /**
     * Creates an expired lease.
     *
     * @param validity how long an answer of the store is relied on
     */
    public FreshnessLease(LongSupplier monotonicNanos, LongSupplier wallMillis, Duration validity) {
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
        this.validityNanos = validity.toNanos();
        this.clockGap = clockGap();
    }

    /** Sets what is done when the clocks disagree, so that a new proof is asked for at once. */
    public void onClockJump(Runnable action) {
        onClockJump = action;
    }

    private long clockGap() {
        return wallMillis.getAsLong() * NANOS_PER_MILLI - monotonicNanos.getAsLong();
    }

    /** Returns whether the clocks still agree; if not, nothing that was proven before counts. */
    public boolean checkClocks() {
        long gap = clockGap();
        if (Math.abs(gap - clockGap) <= CLOCK_TOLERANCE_NANOS) {
            return true;
        }
        clockGap = gap;
        renewed = false;
        onClockJump.run();
        return false;
    }

    /**
     * Notes that everything was known that had been written when a question was sent.
     *
     * @param sentAt when the question was sent, by the monotonic clock
     */
    public void renew(long sentAt) {
        if (checkClocks() && (!renewed || sentAt - renewedAt > 0)) {
            renewed = true;
            renewedAt = sentAt;
        }
    }

    /** Returns whether the lease holds. */
    public boolean isValid() {
        return checkClocks() && renewed && monotonicNanos.getAsLong() - renewedAt <= validityNanos;
    }

    /** Returns the age of the newest proof in milliseconds, or -1 without one. */
    public long ageMillis() {
        return renewed ? (monotonicNanos.getAsLong() - renewedAt) / NANOS_PER_MILLI : -1;
    }
}
