package org.toucanlane.policy.capacity;

import com.google.common.base.Preconditions;

/**
 * A measured response time relative to the expected one, and the number of samples behind it. Estimates of several hosts
 * are combined as geometric means, weighted by their samples. Immutable.
 *
 * @param slowness ratio of measured to expected response time; 1 if nothing was measured
 * @param samples number of samples; 0 if nothing was measured
 */
public record SpeedEstimate(double slowness, int samples) {

    /** No measurement. */
    public static final SpeedEstimate NONE = new SpeedEstimate(1, 0);

    /** Validates the components. */
    public SpeedEstimate {
        Preconditions.checkArgument(slowness > 0, "slowness must be positive: %s", slowness);
        Preconditions.checkArgument(samples >= 0, "samples must not be negative: %s", samples);
    }

    /** Returns whether there is a measurement. */
    public boolean isKnown() {
        return samples > 0;
    }

    /** Returns the combination of both estimates. */
    public SpeedEstimate plus(SpeedEstimate other) {
        if (!other.isKnown()) {
            return this;
        }
        return isKnown() ? weighted(other, samples + other.samples, 1) : other;
    }

    /** Removes {@code part}, which was combined into this estimate. */
    public SpeedEstimate minus(SpeedEstimate part) {
        int rest = samples - part.samples;
        return rest <= 0 ? NONE : weighted(part, rest, -1);
    }

    private SpeedEstimate weighted(SpeedEstimate other, int total, int sign) {
        double sum = Math.log(slowness) * samples + sign * Math.log(other.slowness) * other.samples;
        return new SpeedEstimate(Math.exp(sum / total), total);
    }
}
