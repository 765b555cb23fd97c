package org.toucanlane.policy.offer;

import java.time.Duration;

/**
 * Measures the recent rate of requests for a service at one host.
 *
 * <p>Load pattern: demand that doubles within a second, so that an offer made from the demand of a minute ago would give
 * away room that the region needs itself. Not thread-safe.
 */
public final class ArrivalRate {

    /** Time in which the weight of a request halves; a few intervals between reports. */
    private static final Duration HALF_LIFE = Duration.ofMillis(500);

    private static final double RATE_PER_WEIGHT = Math.log(2) * 1e9 / HALF_LIFE.toNanos();

    private double requests;
    private double tokens;
    private long updatedAt;

    /**
     * Records a request.
     *
     * @param newTokens prompt tokens that have to be prefilled
     * @param now monotonic time in nanoseconds
     */
    public void record(long newTokens, long now) {
        decay(now);
        requests++;
        tokens += newTokens;
    }

    /** Returns the rate at the monotonic time {@code now}, in nanoseconds. */
    public ServiceOffer.Demand rate(long now) {
        decay(now);
        return new ServiceOffer.Demand(requests * RATE_PER_WEIGHT, tokens * RATE_PER_WEIGHT);
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, Math.max(0, now - updatedAt) / (double) HALF_LIFE.toNanos());
        requests *= factor;
        tokens *= factor;
        updatedAt = now;
    }
}
