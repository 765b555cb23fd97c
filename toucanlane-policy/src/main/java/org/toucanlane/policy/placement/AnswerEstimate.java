package org.toucanlane.policy.placement;

/**
 * The time until an endpoint's next answer begins, if one more request is sent to it now.
 *
 * <p>An engine reads the prompts of all waiting requests before the new one gets its first token; when its slots or
 * its memory are full, a request first has to end. A plain service answers after its service time, and queues what
 * exceeds its slots. Answers the load pattern of long prompts that arrive together: the backlog of prompt tokens, not
 * the number of requests, decides. Stateless and thread-safe.
 */
public final class AnswerEstimate {

    /** Prompt tokens that an engine reads in a millisecond, before its own slowness is known; typical of one node. */
    public static final double TOKENS_PER_MILLI = 50;

    /** Milliseconds from the last prompt token to the first event of an idle engine: several decoding steps. */
    private static final double FIRST_EVENT_MILLIS = 60;

    /** Milliseconds that each running request adds to a first event, by making each decoding step longer. */
    private static final double MILLIS_PER_RUNNING = 0.5;

    /** Part of the memory up to which requests are not expected to wait for others to end. */
    private static final double USABLE_MEMORY = 0.95;

    private AnswerEstimate() {}

    /**
     * Returns the estimate in milliseconds.
     *
     * @param newTokens prompt tokens that the endpoint would have to read; 0 for a plain service
     * @param neededTokens tokens that the request would keep in memory
     */
    public static double millis(EndpointLoad load, long newTokens, long neededTokens) {
        double wait = slotWait(load);
        if (!load.isEngine()) {
            return load.serviceMillis() * load.slowness() + wait;
        }
        double prefill = (load.pendingTokens() + newTokens) / TOKENS_PER_MILLI;
        double first = FIRST_EVENT_MILLIS + load.running() * MILLIS_PER_RUNNING + prefill;
        return first * load.slowness() + Math.max(wait, memoryWait(load, neededTokens));
    }

    /**
     * Returns the part of the estimate that the request itself needs: what it would be if nothing else ran there.
     *
     * @param newTokens prompt tokens that the endpoint would have to read; 0 for a plain service
     */
    public static double idleMillis(EndpointLoad load, long newTokens) {
        double alone = load.isEngine() ? FIRST_EVENT_MILLIS + newTokens / TOKENS_PER_MILLI : load.serviceMillis();
        return alone * load.slowness();
    }

    private static double slotWait(EndpointLoad load) {
        int ahead = load.running() + 1 - load.slots();
        return ahead <= 0 ? 0 : ahead * load.serviceMillis() * load.slowness() / load.slots();
    }

    private static double memoryWait(EndpointLoad load, long neededTokens) {
        double excess = load.usedTokens() + neededTokens - load.memoryTokens() * USABLE_MEMORY;
        return excess <= 0 ? 0 : excess / load.memoryTokens() * load.serviceMillis() * load.slowness();
    }
}
