package org.toucanlane.policy.retry;

import java.time.Duration;

/**
 * Decides whether a request that failed at one endpoint is retried at another.
 *
 * <p>Load pattern: endpoints that fail some of their requests, or reject them while they are full. A retry helps while
 * other endpoints have spare capacity, but amplifies an overload when none has, so every retry of an attempt that may
 * have reached an endpoint is charged to a retry budget. A request that may have run is retried only if it is
 * idempotent. Stateless and thread-safe.
 */
public final class RetryPolicy {

    /** Minimum time until the caller's deadline for a retry to be worth sending. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(60);

    /** Attempts that may be rejected before the request fails; the second endpoint is chosen with fresher load data. */
    private static final int MAX_REFUSALS = 2;

    private RetryPolicy() {}

    /** Returns whether to retry the request. Withdraws from the budget only if all other conditions hold. */
    public static boolean shouldRetry(Failure failure, RetryBudget budget) {
        if (!isWorthwhile(failure.timeLeft())) {
            return false;
        }
        return switch (failure.kind()) {
            case NOT_SENT -> failure.refusals() < MAX_REFUSALS;
            case REFUSED -> failure.refusals() < MAX_REFUSALS && budget.tryWithdraw();
            case MAY_HAVE_RUN -> failure.idempotent() && failure.endpointsLeft() > 0 && budget.tryWithdraw();
        };
    }

    /**
     * Returns whether a request may also be sent to another endpoint while an attempt in progress is silent.
     *
     * @param silent the silent attempt as it would be judged if it had failed
     */
    public static boolean allowsAlternative(Failure silent) {
        return silent.idempotent()
                && silent.endpointsLeft() > 0
                && silent.refusals() < MAX_REFUSALS
                && isWorthwhile(silent.timeLeft());
    }

    /** Returns whether a retry with {@code timeLeft} until the caller's deadline is worth sending. */
    public static boolean isWorthwhile(Duration timeLeft) {
        return timeLeft.compareTo(MIN_TIME_LEFT) >= 0;
    }

    /**
     * A failed attempt.
     *
     * @param kind whether the request may have run
     * @param idempotent whether running the request twice has the same effect as running it once
     * @param endpointsLeft number of further endpoints that the request may be sent to
     * @param refusals earlier attempts of this request that did not run
     * @param timeLeft time until the caller's deadline
     */
    public record Failure(FailureKind kind, boolean idempotent, int endpointsLeft, int refusals, Duration timeLeft) {}

    /** Whether the request of a failed attempt may have run. */
    public enum FailureKind {
        /** No byte of the request reached an endpoint. */
        NOT_SENT,
        /** The endpoint guarantees that it did not run the request. */
        REFUSED,
        /** The endpoint ran the request and failed, or it is unknown whether it ran. */
        MAY_HAVE_RUN
    }
}
