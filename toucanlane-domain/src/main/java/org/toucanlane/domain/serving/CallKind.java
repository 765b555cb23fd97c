package org.toucanlane.domain.serving;

/** How often a request on a route may run. */
public enum CallKind {
    /** Running the request again has no further effect. */
    IDEMPOTENT,
    /** The request runs once at most. */
    AT_MOST_ONCE,
    /** The answer is a stream of events; the request runs once at most unless the route allows it to be resumed. */
    STREAM;

    /** Returns whether a request that may have run can be sent again. */
    public boolean isRetryable(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }
}
