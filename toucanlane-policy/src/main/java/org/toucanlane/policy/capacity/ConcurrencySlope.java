package org.toucanlane.policy.capacity;

import java.time.Duration;

/**
 * How much each running request slows down an endpoint, by regression of the logarithm of the response time on the
 * number of running requests, with exponential forgetting.
 *
 * <p>Load pattern: a server that slows down long before its slots are full, as one whose requests share a processor or a
 * disk. With a time of {@code t * exp(slope * running)} the throughput grows until {@code running = 1 / slope}. Not
 * thread-safe.
 */
final class ConcurrencySlope {

    /** Half-life of a sample; many times that in which the number of running requests changes. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(6);

    /** Samples, after forgetting, from which a slope is used. */
    private static final double MIN_SAMPLES = 20;

    /** Standard errors by which a slope has to differ from zero to be used. */
    private static final double MIN_STANDARD_ERRORS = 4;

    /** Part of the variance that a slope has to explain; a moment's pause also makes requests pile up. */
    private static final double MIN_EXPLAINED_VARIANCE = 0.35;

    /** Difference from the expected logarithm above which a sample counts only as that much. */
    private static final double MAX_RESIDUAL = 0.7;

    private double weight;
    private double sumRunning;
    private double sumValue;
    private double sumRunningSquared;
    private double sumProduct;
    private double sumValueSquared;
    private long updatedAt;

    /** Adds the logarithm of a response time that was measured with {@code running} other requests. */
    void add(double value, int running, long now) {
        double decay = weight == 0 ? 0 : Math.pow(0.5, (double) (now - updatedAt) / HALF_LIFE.toNanos());
        double expected = weight == 0 ? value : sumValue / weight + fitted() * (running - sumRunning / weight);
        double clamped = Math.max(expected - MAX_RESIDUAL, Math.min(expected + MAX_RESIDUAL, value));
        weight = weight * decay + 1;
        sumRunning = sumRunning * decay + running;
        sumValue = sumValue * decay + clamped;
        sumRunningSquared = sumRunningSquared * decay + (double) running * running;
        sumProduct = sumProduct * decay + running * clamped;
        sumValueSquared = sumValueSquared * decay + clamped * clamped;
        updatedAt = now;
    }

    /** Returns the relative slowdown of one more running request, or 0 if it doesn't differ from noise. */
    double perRequest() {
        double fitted = fitted();
        if (weight < MIN_SAMPLES || fitted <= 0) {
            return 0;
        }
        double variance = sumRunningSquared - sumRunning * sumRunning / weight;
        double explained = fitted * fitted * variance;
        double total = sumValueSquared - sumValue * sumValue / weight;
        double error = Math.sqrt(Math.max(0, total - explained) / (weight - 2) / variance);
        boolean significant = fitted > MIN_STANDARD_ERRORS * error && explained > MIN_EXPLAINED_VARIANCE * total;
        return significant ? fitted : 0;
    }

    private double fitted() {
        double variance = sumRunningSquared - sumRunning * sumRunning / weight;
        return weight == 0 || variance < 1 ? 0 : (sumProduct - sumRunning * sumValue / weight) / variance;
    }
}
