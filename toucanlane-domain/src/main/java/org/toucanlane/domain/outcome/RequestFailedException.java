package org.toucanlane.domain.outcome;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;

/** Thrown when a request can't be answered; carries the kind that decides the caller's answer. */
public final class RequestFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient Duration retryAfter;

    /** Creates an exception without advice on when to come back. */
    public RequestFailedException(ErrorKind kind, String message) {
        this(kind, message, null, null);
    }

    /** Creates an exception with a cause. */
    public RequestFailedException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, null, cause);
    }

    /** Creates an exception that says when to come back; {@code retryAfter} and {@code cause} may be null. */
    public RequestFailedException(ErrorKind kind, String message, Duration retryAfter, Throwable cause) {
        super(message, cause);
        this.kind = Preconditions.checkNotNull(kind, "kind");
        this.retryAfter = retryAfter;
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns when to come back, if that is known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
