package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * A request as the queue of its service sees it. Immutable.
 *
 * @param rank urgency rank among the requests of the service; 0 is the most urgent
 * @param arrivalNanos time at which the host received it, as a {@link System#nanoTime()} value
 * @param objective time from the arrival within which its response should begin
 * @param deadlineNanos time by which the whole response must be delivered, as a {@link System#nanoTime()} value
 * @param size tokens that it needs; 0 for a plain service
 * @param account name of the client account, or an empty string
 * @param weight tokens a second that the account may use at this host; 0 if it has no limit
 */
public record WaitingRequest(
        int rank, long arrivalNanos, Duration objective, long deadlineNanos, long size, String account, double weight) {

    /** Fraction of the objective for which a request is held without a better place in sight, as a divisor. */
    private static final int HOLD_DIVISOR = 8;

    /** Validates the components. */
    public WaitingRequest {
        Preconditions.checkArgument(rank >= 0, "rank must not be negative: %s", rank);
        Preconditions.checkArgument(
                !objective.isZero() && !objective.isNegative(), "objective must be positive: %s", objective);
        Preconditions.checkArgument(size >= 0, "size must not be negative: %s", size);
        Preconditions.checkArgument(weight >= 0, "weight must not be negative: %s", weight);
    }

    /** Returns the time by which the response should begin, as a {@link System#nanoTime()} value. */
    long objectiveNanos() {
        return arrivalNanos + objective.toNanos();
    }

    /** Returns the time until which the request is held in any case, as a {@link System#nanoTime()} value. */
    long heldUntilNanos() {
        return arrivalNanos + objective.toNanos() / HOLD_DIVISOR;
    }
}
