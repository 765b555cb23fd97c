package org.toucanlane.policy.capacity;

import java.time.Duration;

/**
 * What one host knows of the speed of one endpoint.
 *
 * <p>Load pattern: endpoints of a service that differ lastingly in speed, change it, and are slow for a moment now and
 * then. What is lasting is a median over a window, relative to the other endpoints of the service; {@link ServiceSpeeds}
 * decides whether they differ. The short-lived deviation is an average that returns to 1 within seconds. Only one of the
 * two applies at a time: both together would follow the same change twice, and oscillate.
 *
 * <p>Invariant: all factors are positive. Not thread-safe: confined to the thread of its service's speeds.
 */
public final class EndpointSpeed {

    /** Weight of a new sample in the exponential moving averages; roughly the last ten samples dominate. */
    private static final double SMOOTHING_FACTOR = 0.15;

    /** Lower clamp for the deviation of one response, so that a single outlier cannot dominate the average. */
    private static final double MIN_DEVIATION = 0.4;

    /** Upper clamp for the deviation of one response. */
    private static final double MAX_DEVIATION = 6;

    /** Ratio of measured to expected time, and its inverse, beyond which a sample counts only as that much. */
    private static final double MAX_RATIO = 10;

    /** Ratio of the estimate to the part of it that the request itself causes from which a response is not measured. */
    private static final double MAX_WAIT_RATIO = 1.3;

    /**
     * Half-life with which the deviation decays towards 1 while there are no responses. Without decay, a measurement that
     * was inflated by this host's own startup would persist.
     */
    private static final Duration DEVIATION_HALF_LIFE = Duration.ofSeconds(2);

    /** Time in which the service time of an idle endpoint gets half as far from that of its service. */
    private static final Duration SERVICE_TIME_HALVING = Duration.ofSeconds(8);

    /** Half-life with which the average of an idle endpoint returns to that of its service. */
    private static final Duration LONG_TERM_HALF_LIFE = Duration.ofSeconds(8);

    /** Half-life of measurements in the average; several times as long as a moment's slowness. */
    private static final Duration AVERAGING_HALF_LIFE = Duration.ofSeconds(3);

    /** Longest time between two updates that counts for the weight of the later one. */
    private static final Duration MAX_UPDATE = Duration.ofMillis(500);

    private final String endpoint;
    private final ServiceSpeeds service;
    private final ReportedSpeed reported;
    private final SampleWindow window = new SampleWindow();
    private final ConcurrencySlope slope = new ConcurrencySlope();
    private double deviation = 1;
    private long deviationAt;
    private double serviceMillis;
    private long serviceMillisAt;
    private boolean served;
    private int running;
    private boolean measured;
    private double longTerm;
    private long longTermAt;
    private boolean known;
    private double lasting = 1;
    private int lastingRunning;
    private double announced = 1;

    EndpointSpeed(String endpoint, ServiceSpeeds service, ReportedSpeed reported, long now) {
        this.endpoint = endpoint;
        this.service = service;
        this.reported = reported;
        this.deviationAt = now;
        this.serviceMillisAt = now;
    }

    /** The speed of an endpoint as other hosts report it. */
    @FunctionalInterface
    public interface ReportedSpeed {

        /** Returns the combination of the estimates of other hosts. */
        SpeedEstimate estimate();
    }

    /**
     * What was known when a request was sent.
     *
     * @param estimatedMillis estimated time to the first response
     * @param slowdown factor of the endpoint that the estimate includes
     * @param meanServiceMillis mean service time that the estimate is based on
     * @param engine whether the endpoint is a model engine
     * @param pendingTokens prompt tokens of other requests that are prefilled before
     * @param newTokens prompt tokens of the request that are prefilled
     * @param running requests that ran at the endpoint
     */
    public record Expectation(
            double estimatedMillis,
            double slowdown,
            double meanServiceMillis,
            boolean engine,
            long pendingTokens,
            long newTokens,
            int running) {}

    /** Records the first response to a request. */
    public void recordFirstResponse(Expectation expected, double observedMillis, long now) {
        double current = deviation(now);
        double included = service.isUneven() ? 1 : current;
        double ratio = observedMillis * included / expected.estimatedMillis();
        deviation = current + SMOOTHING_FACTOR * (clamp(ratio, MIN_DEVIATION, MAX_DEVIATION) - current);
        deviationAt = now;
        if (!expected.engine()) {
            double usual = expected.estimatedMillis() / expected.slowdown() / expected.meanServiceMillis();
            addSample(observedMillis / (usual * service.meanServiceMillis()), expected.running(), now);
        } else if (tellsSpeed(expected)) {
            long tokens = expected.pendingTokens() + expected.newTokens();
            double usual = EngineProfile.START.firstResponseMillis(tokens, expected.running());
            addSample(observedMillis / usual, expected.running(), now);
            service.recordFirstResponse(observedMillis / lasting, tokens, expected.running());
        }
    }

    /**
     * Returns whether the response time is mainly caused by the request itself. How much of the other prompts has been
     * prefilled, and how soon a slot becomes free, is not known well enough.
     */
    private boolean tellsSpeed(Expectation expected) {
        double own = service.profile().firstResponseMillis(expected.newTokens(), expected.running());
        return expected.estimatedMillis() < own * expected.slowdown() * MAX_WAIT_RATIO;
    }

    private void addSample(double ratio, int count, long now) {
        double sample = Math.log(clamp(ratio, 1 / MAX_RATIO, MAX_RATIO));
        slope.add(sample, count, now);
        window.add(sample, count, now);
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }

    /** Records the time for which a complete request occupied a slot. */
    public void recordServiceTime(double millis, long now) {
        double current = meanServiceMillis(now);
        serviceMillis = current + SMOOTHING_FACTOR * (millis - current);
        serviceMillisAt = now;
        served = true;
    }

    /**
     * Returns the mean time for which a request occupies a slot, in milliseconds. It begins at the median of the service,
     * and returns to it while the endpoint is idle.
     */
    public double meanServiceMillis(long now) {
        double usual = service.meanServiceMillis();
        if (!served) {
            return usual;
        }
        double idle = Math.max(0.0, now - serviceMillisAt);
        double halving = SERVICE_TIME_HALVING.toNanos();
        return usual + (serviceMillis - usual) * halving / (halving + idle);
    }

    boolean hasServed() {
        return served;
    }

    /** Returns the short-lived part of the slowdown as this host measured it, which decays to 1. */
    public double deviation(long now) {
        return 1 + (deviation - 1) * decay(now - deviationAt, DEVIATION_HALF_LIFE);
    }

    private static double decay(long nanos, Duration halfLife) {
        return Math.pow(0.5, Math.max(0.0, nanos) / halfLife.toNanos());
    }

    /**
     * Returns the ratio of the endpoint's response time to that of a usual endpoint of its service: what is lasting while
     * the endpoints of the service are measured to differ, and else the short-lived deviation. An idle endpoint that has
     * not been measured counts as the fastest one, so that it is tried by one request.
     *
     * @param meanDeviation short-lived deviation, averaged over the hosts that send requests to the endpoint
     * @param running requests that run at the endpoint
     */
    public double slowdown(double meanDeviation, int running, long now) {
        this.running = running;
        service.refresh(now);
        if (!service.isUneven()) {
            return meanDeviation;
        }
        if (!known && running == 0) {
            return service.fastest();
        }
        double perRequest = lasting == 1 || running == lastingRunning ? 0 : slope.perRequest();
        return perRequest == 0 ? lasting : lasting * Math.exp(perRequest * (running - lastingRunning));
    }

    /**
     * Returns the number of concurrent requests up to which the endpoint's throughput grows, at most {@code slots}; all
     * slots unless the endpoints are measured to differ, and this one to slow down before.
     */
    public int usefulSlots(int slots) {
        if (!service.isUneven()) {
            return slots;
        }
        double perRequest = slope.perRequest();
        return perRequest * slots <= 1 ? slots : Math.max(1, (int) Math.round(1 / perRequest));
    }

    /** Returns what this host measured at the endpoint's current load, without what other hosts report. */
    public SpeedEstimate measured(long now) {
        int samples = window.intervals(now);
        return samples == 0 ? SpeedEstimate.NONE : new SpeedEstimate(Math.exp(level(now)), samples);
    }

    private double level(long now) {
        double perRequest = slope.perRequest();
        return window.level(perRequest, longTermLevel(now), now) + perRequest * running;
    }

    /** Returns the average over some seconds, which approaches that of the service while the endpoint is idle. */
    private double longTermLevel(long now) {
        double usual = service.level();
        return measured ? usual + (longTerm - usual) * decay(now - longTermAt, LONG_TERM_HALF_LIFE) : usual;
    }

    /** Includes the measurements since the last update in the average. */
    void updateLongTerm(long now) {
        if (!window.isFresh(now)) {
            return;
        }
        double current = window.level(slope.perRequest(), service.level(), now);
        double weight = measured ? 1 - decay(Math.min(now - longTermAt, MAX_UPDATE.toNanos()), AVERAGING_HALF_LIFE) : 1;
        longTerm += weight * (current - longTerm);
        longTermAt = now;
        measured = true;
    }

    /** Returns what this host measured, combined with what other hosts report. */
    SpeedEstimate combined(long now) {
        return measured(now).plus(reported.estimate());
    }

    double sampleDeviation(long now) {
        return window.deviation(slope.perRequest(), now);
    }

    void setLasting(double next, boolean isKnown) {
        known = isKnown;
        lasting = next;
        lastingRunning = running;
    }

    /** Returns whether the endpoint is lastingly faster or slower than the median of its service. */
    public boolean isLasting() {
        return lasting != 1;
    }

    /** Returns the lasting slowdown relative to the median of the service; 1 while it may be an error of the measurement. */
    public double lasting() {
        return lasting;
    }

    double announced() {
        return announced;
    }

    void setAnnounced(double value) {
        announced = value;
    }

    /** Returns what determines the response time of a usual engine of the service. */
    public EngineProfile profile() {
        return service.profile();
    }

    /** Returns the id of the endpoint. */
    public String endpoint() {
        return endpoint;
    }
}
