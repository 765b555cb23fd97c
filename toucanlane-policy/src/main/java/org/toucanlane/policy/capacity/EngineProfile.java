package org.toucanlane.policy.capacity;

import com.google.common.base.Preconditions;

/**
 * What determines the time to the first response at the engines of a service. Immutable.
 *
 * @param prefillTokensPerMilli prompt tokens that are prefilled per millisecond
 * @param firstEventMillis time from the end of prefill to the first event of an idle engine, in milliseconds
 * @param millisPerRunning time that each running request adds to the first event, in milliseconds
 */
public record EngineProfile(double prefillTokensPerMilli, double firstEventMillis, double millisPerRunning) {

    /** A single node, several decoding steps to the first event; used until a service has been measured. */
    public static final EngineProfile START = new EngineProfile(50, 60, 0.5);

    /** Validates the components. */
    public EngineProfile {
        Preconditions.checkArgument(
                prefillTokensPerMilli > 0, "prefillTokensPerMilli must be positive: %s", prefillTokensPerMilli);
        Preconditions.checkArgument(firstEventMillis >= 0, "firstEventMillis is negative: %s", firstEventMillis);
        Preconditions.checkArgument(millisPerRunning >= 0, "millisPerRunning is negative: %s", millisPerRunning);
    }

    /** Returns the time to prefill {@code tokens}, in milliseconds. */
    public double prefillMillis(double tokens) {
        return tokens / prefillTokensPerMilli;
    }

    /**
     * Returns the time to the first response without a wait for a slot, in milliseconds.
     *
     * @param tokensAhead prompt tokens that are prefilled before
     * @param running requests that run at the engine
     */
    public double firstResponseMillis(double tokensAhead, int running) {
        return firstEventMillis + running * millisPerRunning + prefillMillis(tokensAhead);
    }
}
