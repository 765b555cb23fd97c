package org.toucanlane.domain.serving;

/** Execution semantics of the requests on a route. */
public enum CallKind {
    /** The request is idempotent: executing it again has no further effect. */
    IDEMPOTENT,
    /** The request is executed at most once. */
    AT_MOST_ONCE,
    /** The response is an event stream; the request is executed at most once unless the stream is resumable. */
    STREAM;

    /** Returns whether a request may be retried although it may already have been executed. */
    public boolean isRetryable(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }
}
