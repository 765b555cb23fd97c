package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The rate of events, weighted by an exponential decay of their age.
 *
 * <p>A rate that stops falls to a third after one time constant. Not thread-safe.
 */
final class DecayingRate {

    private final double timeConstantNanos;
    private double events;
    private long updatedNanos;

    /** Creates a rate without events. */
    DecayingRate(Duration timeConstant) {
        Preconditions.checkArgument(
                !timeConstant.isZero() && !timeConstant.isNegative(),
                "timeConstant must be positive: %s",
                timeConstant);
        this.timeConstantNanos = timeConstant.toNanos();
    }

    /** Records an event at {@code now}. */
    void record(long now) {
        events = decayed(now) + 1;
        updatedNanos = now;
    }

    /** Returns the events per nanosecond at {@code now}; 0 before the first event. */
    double perNano(long now) {
        return decayed(now) / timeConstantNanos;
    }

    private double decayed(long now) {
        return events == 0 ? 0 : events * Math.exp(-Math.max(0, now - updatedNanos) / timeConstantNanos);
    }
}
