package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;

/**
 * Scheduling priorities of the requests that wait at a model engine.
 *
 * <p>Load pattern: short urgent requests among long prompts that each take an engine a quarter of a second to prefill.
 * In first-come, first-served order a short request waits behind all of them, although its own prefill takes a few
 * milliseconds; in priority order it hardly waits, and the long prompts are hardly delayed. A resumed stream goes
 * first, since its caller has already seen the interruption. Stateless and thread-safe.
 */
public final class EnginePriority {

    /** Difference between the priorities of adjacent ranks, which leaves room for values in between. */
    private static final int PRIORITY_STEP = 2;

    private EnginePriority() {}

    /**
     * Returns the priority of a request; lower values are scheduled first.
     *
     * @param rank urgency rank among the requests for the same endpoints; 0 is the most urgent
     * @param resumed whether part of the response has already been delivered
     */
    public static int of(int rank, boolean resumed) {
        Preconditions.checkArgument(rank >= 0, "rank must not be negative: %s", rank);
        return resumed ? 0 : 1 + PRIORITY_STEP * rank;
    }
}
