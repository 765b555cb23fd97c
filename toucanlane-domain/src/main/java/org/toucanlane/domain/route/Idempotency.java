package org.toucanlane.domain.route;

/** Whether executing a call more than once has the same effect as executing it once. */
public enum Idempotency {
    /** A call may be retried as long as no part of its response was passed on to the caller. */
    IDEMPOTENT(true),
    /** A call is executed at most once: it is not retried once a byte of it may have reached an endpoint. */
    NON_IDEMPOTENT(false);

    private final boolean retryable;

    Idempotency(boolean repeatable) {
        this.retryable = repeatable;
    }

    /** Returns whether a call may be retried although it may already have been executed. */
    public boolean isRetryable() {
        return retryable;
    }
}
