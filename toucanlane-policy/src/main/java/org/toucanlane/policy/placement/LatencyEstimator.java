package org.toucanlane.policy.placement;

/**
 * Estimates the time to the first response of a request that is sent to an endpoint now.
 *
 * <p>A model engine prefills the prompts of all pending requests before the new one gets its first token; if its slots
 * or its KV cache are full, a running request has to finish first. A plain service responds after its service time and
 * queues the requests that exceed its slots. Load pattern: long prompts that arrive together, for which the backlog of
 * prompt tokens, not the number of requests, determines the latency. Stateless and thread-safe.
 */
public final class LatencyEstimator {

    /** Fraction of the KV cache up to which requests are expected to start without waiting for others to finish. */
    private static final double USABLE_MEMORY_FRACTION = 0.95;

    private LatencyEstimator() {}

    /**
     * Returns the estimated time to the first response, in milliseconds.
     *
     * @param newTokens prompt tokens that are not cached and have to be prefilled; 0 for a plain service
     * @param neededTokens tokens that the request would add to the KV cache
     */
    public static double estimateMillis(EndpointLoad load, long newTokens, long neededTokens) {
        double wait = slotWaitMillis(load);
        if (!load.isEngine()) {
            return load.meanServiceMillis() * load.slowdownFactor() + wait;
        }
        double first = load.profile().firstResponseMillis(load.pendingPromptTokens() + newTokens, load.running());
        return first * load.slowdownFactor() + Math.max(wait, memoryWaitMillis(load, neededTokens));
    }

    /**
     * Returns the estimated time to the first response if no other request ran at the endpoint, in milliseconds.
     *
     * @param newTokens prompt tokens that are not cached and have to be prefilled; 0 for a plain service
     */
    public static double unloadedMillis(EndpointLoad load, long newTokens) {
        double unloaded = load.isEngine() ? load.profile().firstResponseMillis(newTokens, 0) : load.meanServiceMillis();
        return unloaded * load.slowdownFactor();
    }

    private static double slotWaitMillis(EndpointLoad load) {
        int excess = load.running() + 1 - load.slots();
        return excess <= 0 ? 0 : excess * load.meanServiceMillis() * load.slowdownFactor() / load.slots();
    }

    private static double memoryWaitMillis(EndpointLoad load, long neededTokens) {
        double excess = load.usedKvTokens() + neededTokens - load.kvCapacityTokens() * USABLE_MEMORY_FRACTION;
        return excess <= 0 ? 0 : excess / load.kvCapacityTokens() * load.meanServiceMillis() * load.slowdownFactor();
    }
}
