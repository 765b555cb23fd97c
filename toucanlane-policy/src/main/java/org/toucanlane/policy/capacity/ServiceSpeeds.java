package org.toucanlane.policy.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The speeds of the endpoints of one service, relative to their median.
 *
 * <p>Load pattern: a service whose endpoints are lastingly faster or slower than each other, which fixed weights don't
 * fit, and one whose endpoints are alike, for which measuring must not change anything. An endpoint counts as different
 * while its difference from the median exceeds the error of the measurement, and then takes its part of the load by its
 * speed. An endpoint that has not been measured counts as the median, and so gets requests.
 *
 * <p>Invariant: the lasting slowdown of an endpoint is 1, or differs from 1 by more than half of the threshold at its
 * last refresh. Not thread-safe: confined to the host's event loop.
 */
public final class ServiceSpeeds {

    /** Time between two comparisons of the endpoints. */
    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(200);

    /** Time for which a service counts as uneven after its endpoints differed, so that it doesn't alternate. */
    private static final Duration UNEVEN_TIME = Duration.ofSeconds(5);

    /** Standard errors of a measurement by which an endpoint has to differ from the median. */
    private static final double STANDARD_ERRORS = 3;

    /** Ratio of a standard error of a median to the median absolute deviation of one sample, for a normal distribution. */
    private static final double ERROR_PER_DEVIATION = 1.4826 * 1.2533;

    /** Difference in the logarithm below which endpoints count as alike, however many samples there are. */
    private static final double MIN_DIFFERENCE = Math.log(1.4);

    /** Part of the threshold at which an endpoint that counts as different counts as alike again. */
    private static final double HYSTERESIS = 0.5;

    /** Median absolute deviation of the logarithm of one sample, until it has been measured. */
    private static final double START_DEVIATION = 0.3;

    /** Weight of a new value in the average of the sample deviation. */
    private static final double DEVIATION_WEIGHT = 0.1;

    /** Logarithm of the largest slowdown or speed-up relative to the median. */
    private static final double MAX_DIFFERENCE = Math.log(8);

    /** Difference in the logarithm from the last announced speed that is announced. */
    private static final double ANNOUNCED_DIFFERENCE = Math.log(1.25);

    private final List<EndpointSpeed> endpoints = new ArrayList<>();
    private final ProfileLearner learner = new ProfileLearner();
    private final ChangeListener listener;
    private EngineProfile profile = EngineProfile.START;
    private double meanServiceMillis;
    private double sampleDeviation = START_DEVIATION;
    private double level;
    private boolean uneven;
    private long differentAt;
    private double fastest = 1;
    private boolean refreshed;
    private long refreshedAt;

    /**
     * Creates the speeds of a service without endpoints.
     *
     * @param startServiceMillis mean service time until one has been measured, in milliseconds
     */
    public ServiceSpeeds(double startServiceMillis, ChangeListener listener) {
        this.meanServiceMillis = startServiceMillis;
        this.listener = listener;
    }

    /** Is told of lasting changes. */
    @FunctionalInterface
    public interface ChangeListener {

        /** Called when the lasting slowdown of an endpoint, relative to the median of its service, has changed. */
        void speedChanged(String endpoint, double previousSlowdown, double slowdown);
    }

    /** Adds an endpoint, which counts as the median until it has been measured. */
    public EndpointSpeed add(String endpoint, EndpointSpeed.ReportedSpeed reported, long now) {
        EndpointSpeed speed = new EndpointSpeed(endpoint, this, reported, now);
        endpoints.add(speed);
        return speed;
    }

    /** Removes an endpoint. */
    public void remove(EndpointSpeed speed) {
        endpoints.remove(speed);
    }

    /**
     * Returns what determines the time to the first response at an engine of median speed, as measured while the endpoints
     * differ.
     */
    public EngineProfile profile() {
        return uneven ? profile : EngineProfile.START;
    }

    /** Returns the median over the endpoints of the time for which a request occupies a slot, in milliseconds. */
    public double meanServiceMillis() {
        return meanServiceMillis;
    }

    /** Returns whether an endpoint differs, or has lately, from the median by more than the error of the measurement. */
    public boolean isUneven() {
        return uneven;
    }

    /** Returns the smallest lasting slowdown. */
    double fastest() {
        return fastest;
    }

    /** Returns the median over the endpoints of the logarithm of the measured to the expected response time. */
    double level() {
        return level;
    }

    void recordFirstResponse(double millis, long tokensAhead, int running) {
        learner.add(millis, tokensAhead, running);
    }

    /** Compares the endpoints if the last comparison is older than the interval. */
    void refresh(long now) {
        if (refreshed && now - refreshedAt < REFRESH_INTERVAL.toNanos()) {
            return;
        }
        refreshed = true;
        refreshedAt = now;
        profile = learner.profile();
        updateServiceMillis(now);
        updateDeviation(now);
        endpoints.forEach(speed -> speed.updateLongTerm(now));
        compare(now);
    }

    private void updateServiceMillis(long now) {
        double[] millis = sorted(speed -> speed.hasServed() ? speed.meanServiceMillis(now) : Double.NaN);
        if (millis.length > 0) {
            meanServiceMillis = SampleWindow.median(millis);
        }
    }

    private void updateDeviation(long now) {
        double[] deviations = sorted(speed -> speed.sampleDeviation(now));
        if (deviations.length > 0) {
            sampleDeviation += DEVIATION_WEIGHT * (SampleWindow.median(deviations) - sampleDeviation);
        }
    }

    private void compare(long now) {
        SpeedEstimate[] estimates =
                endpoints.stream().map(speed -> speed.combined(now)).toArray(SpeedEstimate[]::new);
        double[] levels = Arrays.stream(estimates)
                .filter(SpeedEstimate::isKnown)
                .mapToDouble(estimate -> Math.log(estimate.slowness()))
                .sorted()
                .toArray();
        level = levels.length == 0 ? 0 : SampleWindow.median(levels);
        boolean anyDifferent = false;
        fastest = 1;
        for (int i = 0; i < estimates.length; i++) {
            EndpointSpeed speed = endpoints.get(i);
            double difference = estimates[i].isKnown() ? Math.log(estimates[i].slowness()) - level : 0;
            double threshold = threshold(estimates[i].samples()) * (speed.isLasting() ? HYSTERESIS : 1);
            boolean different = Math.abs(difference) > threshold;
            double bounded = Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
            speed.setLasting(different ? Math.exp(bounded) : 1, estimates[i].isKnown());
            fastest = Math.min(fastest, speed.lasting());
            anyDifferent |= different;
            announce(speed);
        }
        differentAt = anyDifferent ? now : differentAt;
        uneven = anyDifferent || uneven && now - differentAt < UNEVEN_TIME.toNanos();
    }

    private double threshold(int samples) {
        return Math.max(
                MIN_DIFFERENCE,
                STANDARD_ERRORS * ERROR_PER_DEVIATION * sampleDeviation / Math.sqrt(Math.max(1, samples)));
    }

    private void announce(EndpointSpeed speed) {
        double previous = speed.announced();
        if (Math.abs(Math.log(speed.lasting() / previous)) > ANNOUNCED_DIFFERENCE) {
            speed.setAnnounced(speed.lasting());
            listener.speedChanged(speed.endpoint(), previous, speed.lasting());
        }
    }

    private double[] sorted(ToDoubleFunction<EndpointSpeed> value) {
        return endpoints.stream()
                .mapToDouble(value)
                .filter(number -> !Double.isNaN(number))
                .sorted()
                .toArray();
    }
}
