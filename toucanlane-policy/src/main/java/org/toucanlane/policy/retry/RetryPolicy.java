package org.toucanlane.policy.retry;

import java.time.Duration;

/**
 * Whether a request that failed at one endpoint is sent to another.
 *
 * <p>Load pattern: endpoints that fail part of their requests, or refuse them while they are full. A repeat helps while
 * others have room, and multiplies an overload when none has; so every repeat that may reach an endpoint comes out of a
 * budget. A request that may have run is sent again only if running it twice does no harm. Stateless and thread-safe.
 */
public final class RetryPolicy {

    /** Time that must be left for a repeat to be worth sending. */
    private static final Duration MIN_TIME_LEFT = Duration.ofMillis(60);

    /** Endpoints that may refuse one request before it is given up: the second is chosen with newer knowledge. */
    private static final int MAX_REFUSALS = 2;

    private RetryPolicy() {}

    /** Returns whether to send the request to another endpoint. The budget is asked only where all else allows it. */
    public static boolean shouldRetry(Failure failure, RetryBudget budget) {
        if (failure.timeLeft().compareTo(MIN_TIME_LEFT) < 0) {
            return false;
        }
        return switch (failure.kind()) {
            case NOT_SENT -> failure.refusals() < MAX_REFUSALS;
            case REFUSED -> failure.refusals() < MAX_REFUSALS && budget.tryWithdraw();
            case MAY_HAVE_RUN -> failure.idempotent() && failure.endpointsLeft() > 0 && budget.tryWithdraw();
        };
    }

    /**
     * A failed attempt.
     *
     * @param kind how far it came
     * @param idempotent whether running the request twice does no harm
     * @param endpointsLeft endpoints to which it may still be sent
     * @param refusals attempts that did not run before this one
     * @param timeLeft time until the caller gets its last answer
     */
    public record Failure(FailureKind kind, boolean idempotent, int endpointsLeft, int refusals, Duration timeLeft) {}

    /** How far a failed attempt came. */
    public enum FailureKind {
        /** No byte reached an endpoint. */
        NOT_SENT,
        /** An endpoint vouches that it did not run the request. */
        REFUSED,
        /** Nothing is known, or the endpoint ran the request and failed. */
        MAY_HAVE_RUN
    }
}
