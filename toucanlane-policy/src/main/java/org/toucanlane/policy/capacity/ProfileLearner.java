package org.toucanlane.policy.capacity;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * Learns the {@link EngineProfile} of a service from the first responses of all its engines.
 *
 * <p>Load pattern: long prompts, whose time tells the prefill speed, between short ones, whose time tells that of the
 * first event. Each response changes the part that dominates it. Medians over many responses are not changed by some
 * prompts that were cached although they were not known to be, or by pauses of some engines. Not thread-safe.
 */
final class ProfileLearner {

    /** Least part of its expected time that the dominant part of a response takes. */
    private static final double MIN_REST = 0.25;

    private final Ratios prefill = new Ratios();
    private final Ratios firstEvent = new Ratios();

    /**
     * Records a first response, with its times divided by the slowdown of its engine.
     *
     * @param tokensAhead prompt tokens that were prefilled before the first event
     * @param running requests that ran at the engine
     */
    void add(double millis, long tokensAhead, int running) {
        EngineProfile profile = profile();
        double prefillMillis = profile.prefillMillis(tokensAhead);
        double firstMillis = profile.firstEventMillis() + running * profile.millisPerRunning();
        double share = prefillMillis / (prefillMillis + firstMillis);
        if (share > 0.5) {
            double rest = Math.max(millis - firstMillis, millis * share * MIN_REST);
            prefill.add(rest / EngineProfile.START.prefillMillis(tokensAhead));
        } else {
            double rest = Math.max(millis - prefillMillis, millis * (1 - share) * MIN_REST);
            firstEvent.add(rest / EngineProfile.START.firstResponseMillis(0, running));
        }
    }

    /** Returns the learned profile; a part that has not been measured is as slow as the other one. */
    EngineProfile profile() {
        EngineProfile start = EngineProfile.START;
        double prefillRatio = prefill.median().orElse(firstEvent.median().orElse(1));
        double firstRatio = firstEvent.median().orElse(prefillRatio);
        return new EngineProfile(
                start.prefillTokensPerMilli() / prefillRatio,
                start.firstEventMillis() * firstRatio,
                start.millisPerRunning() * firstRatio);
    }

    /** The median of the newest ratios of measured to start value. */
    private static final class Ratios {

        private static final int CAPACITY = 64;
        private static final int MIN_SAMPLES = 16;

        private final double[] values = new double[CAPACITY];
        private int count;
        private OptionalDouble median = OptionalDouble.empty();

        private void add(double ratio) {
            values[count % CAPACITY] = ratio;
            count++;
            if (count >= MIN_SAMPLES && count % (MIN_SAMPLES / 2) == 0) {
                double[] sorted = Arrays.copyOf(values, Math.min(count, CAPACITY));
                Arrays.sort(sorted);
                median = OptionalDouble.of(SampleWindow.median(sorted));
            }
        }

        private OptionalDouble median() {
            return median;
        }
    }
}
