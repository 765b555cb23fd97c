package org.toucanlane.edge.call;

import java.time.Duration;
import org.toucanlane.domain.outcome.ErrorKind;

/** A request that this host answers itself. */
public final class CallRefusedException extends Exception {

    private static final long serialVersionUID = 1;

    private final ErrorKind kind;
    private final transient Duration retryAfter;

    /**
     * Creates a refusal.
     *
     * @param retryAfter when the caller may come back; zero where the kind is not retryable
     */
    public CallRefusedException(ErrorKind kind, Duration retryAfter, String detail) {
        super(detail, null, false, false);
        this.kind = kind;
        this.retryAfter = retryAfter;
    }

    /** Returns the kind of error. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns when the caller may come back. */
    public Duration retryAfter() {
        return retryAfter;
    }
}
