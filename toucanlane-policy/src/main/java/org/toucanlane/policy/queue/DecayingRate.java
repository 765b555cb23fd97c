package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The rate of events, weighted by an exponential decay of their age.
 *
 * <p>Events before the start count as unknown, not as none, so that the rate is right from the first events on. A rate
 * that stops falls to a third after one time constant. Not thread-safe.
 */
final class DecayingRate {

    private final double timeConstantNanos;
    private final long startNanos;
    private double events;
    private long updatedNanos;

    /** Creates a rate without events that is measured from {@code start} on. */
    DecayingRate(Duration timeConstant, long start) {
        Preconditions.checkArgument(
                !timeConstant.isZero() && !timeConstant.isNegative(),
                "timeConstant must be positive: %s",
                timeConstant);
        this.timeConstantNanos = timeConstant.toNanos();
        this.startNanos = start;
    }

    /** Records an event at {@code now}. */
    void record(long now) {
        events = decayed(now) + 1;
        updatedNanos = now;
    }

    /** Returns the events per nanosecond at {@code now}; 0 before the first event. */
    double perNano(long now) {
        double age = Math.max(1, now - startNanos);
        return decayed(now) / (timeConstantNanos * -Math.expm1(-age / timeConstantNanos));
    }

    private double decayed(long now) {
        return events == 0 ? 0 : events * Math.exp(-Math.max(0, now - updatedNanos) / timeConstantNanos);
    }
}
