package org.toucanlane.domain.route;

/** Whether running a call twice differs from running it once. */
public enum Idempotency {
    /** A call may be repeated as long as nothing of its answer was shown. */
    IDEMPOTENT(true),
    /** A call is sent at most once, and never again once a byte of it may have reached an endpoint. */
    NON_IDEMPOTENT(false);

    private final boolean retryable;

    Idempotency(boolean repeatable) {
        this.retryable = repeatable;
    }

    /** Returns whether a call that may have run can be sent again. */
    public boolean isRetryable() {
        return retryable;
    }
}
