package org.toucanlane.policy.placement;

/**
 * The time until an endpoint's next answer begins, if one more request is sent to it now.
 *
 * <p>An engine reads the prompts of all waiting requests before the new one gets its first token; when its slots or
 * its memory are full, a request first has to end. A plain service answers after its service time, and queues what
 * exceeds its slots. Answers the load pattern of long prompts that arrive together: the backlog of prompt tokens, not
 * the number of requests, decides. Stateless and thread-safe.
 */
public final class LatencyEstimator {

    /** Prompt tokens that an engine reads in a millisecond, before its own slowness is known; typical of one node. */
    public static final double PREFILL_TOKENS_PER_MILLI = 50;

    /** Milliseconds from the last prompt token to the first event of an idle engine: several decoding steps. */
    private static final double FIRST_EVENT_MILLIS = 60;

    /** Milliseconds that each running request adds to a first event, by making each decoding step longer. */
    private static final double MILLIS_PER_RUNNING_REQUEST = 0.5;

    /** Part of the memory up to which requests are not expected to wait for others to end. */
    private static final double USABLE_MEMORY_FRACTION = 0.95;

    private LatencyEstimator() {}

    /**
     * Returns the estimate in milliseconds.
     *
     * @param newTokens prompt tokens that the endpoint would have to read; 0 for a plain service
     * @param neededTokens tokens that the request would keep in memory
     */
    public static double estimateMillis(EndpointLoad load, long newTokens, long neededTokens) {
        double wait = slotWaitMillis(load);
        if (!load.isEngine()) {
            return load.meanServiceMillis() * load.slowdownFactor() + wait;
        }
        double prefill = (load.pendingPromptTokens() + newTokens) / PREFILL_TOKENS_PER_MILLI;
        double first = FIRST_EVENT_MILLIS + load.running() * MILLIS_PER_RUNNING_REQUEST + prefill;
        return first * load.slowdownFactor() + Math.max(wait, memoryWaitMillis(load, neededTokens));
    }

    /**
     * Returns the part of the estimate that the request itself needs: what it would be if nothing else ran there.
     *
     * @param newTokens prompt tokens that the endpoint would have to read; 0 for a plain service
     */
    public static double unloadedMillis(EndpointLoad load, long newTokens) {
        double alone =
                load.isEngine() ? FIRST_EVENT_MILLIS + newTokens / PREFILL_TOKENS_PER_MILLI : load.meanServiceMillis();
        return alone * load.slowdownFactor();
    }

    private static double slotWaitMillis(EndpointLoad load) {
        int ahead = load.running() + 1 - load.slots();
        return ahead <= 0 ? 0 : ahead * load.meanServiceMillis() * load.slowdownFactor() / load.slots();
    }

    private static double memoryWaitMillis(EndpointLoad load, long neededTokens) {
        double excess = load.usedKvTokens() + neededTokens - load.kvCapacityTokens() * USABLE_MEMORY_FRACTION;
        return excess <= 0 ? 0 : excess / load.kvCapacityTokens() * load.meanServiceMillis() * load.slowdownFactor();
    }
}
