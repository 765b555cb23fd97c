package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;

/**
 * The order in which a model engine begins the requests that wait for it.
 *
 * <p>Load pattern: short urgent questions among long prompts that take an engine a quarter of a second each to read. In
 * the order of arrival a question waits behind all of them, though reading it takes a few milliseconds; in the order of
 * urgency it hardly waits, and the long prompts hardly notice. A stream that was broken off goes first, since its caller
 * already sees the gap. Stateless and thread-safe.
 */
public final class EnginePriority {

    /** Levels between two ranks, so that others fit between. */
    private static final int PRIORITY_STEP = 2;

    private EnginePriority() {}

    /**
     * Returns the level of a request; a lower one begins first.
     *
     * @param rank its rank among the requests for the same endpoints; 0 is the most urgent
     * @param resumed whether a part of its answer has already been delivered
     */
    public static int of(int rank, boolean resumed) {
        Preconditions.checkArgument(rank >= 0, "rank must not be negative: %s", rank);
        return resumed ? 0 : 1 + PRIORITY_STEP * rank;
    }
}
