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
public final class Freshness {

    /** Difference of the two clocks that is no sign of a suspension: drift and adjustments of the time of day. */
    private static final long CLOCK_TOLERANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private final long validityNanos;
    private boolean proven;
    private long provenAt;
    private long clockGap;
    private Runnable onDoubt = () -> {};

    /**
     * Creates an expired lease.
     *
     * @param validity how long an answer of the store is relied on
     */
    public Freshness(LongSupplier monotonicNanos, LongSupplier wallMillis, Duration validity) {
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
        this.validityNanos = validity.toNanos();
        this.clockGap = clockGap();
    }

    /** Sets what is done when the clocks disagree, so that a new proof is asked for at once. */
    public void onDoubt(Runnable action) {
        onDoubt = action;
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
        proven = false;
        onDoubt.run();
        return false;
    }

    /**
     * Notes that everything was known that had been written when a question was sent.
     *
     * @param sentAt when the question was sent, by the monotonic clock
     */
    public void prove(long sentAt) {
        if (checkClocks() && (!proven || sentAt - provenAt > 0)) {
            proven = true;
            provenAt = sentAt;
        }
    }

    /** Returns whether the lease holds. */
    public boolean holds() {
        return checkClocks() && proven && monotonicNanos.getAsLong() - provenAt <= validityNanos;
    }

    /** Returns the age of the newest proof in milliseconds, or -1 without one. */
    public long ageMillis() {
        return proven ? (monotonicNanos.getAsLong() - provenAt) / NANOS_PER_MILLI : -1;
    }
}
