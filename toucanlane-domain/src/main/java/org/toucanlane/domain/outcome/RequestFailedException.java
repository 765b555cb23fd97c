package org.toucanlane.domain.outcome;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;

/** Thrown when a request fails; its {@link ErrorKind} determines the error response to the caller. */
public final class RequestFailedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final transient Duration retryAfter;

    /** Creates an exception without a retry delay. */
    public RequestFailedException(ErrorKind kind, String message) {
        this(kind, message, null, null);
    }

    /** Creates an exception with a cause and without a retry delay. */
    public RequestFailedException(ErrorKind kind, String message, Throwable cause) {
        this(kind, message, null, cause);
    }

    /** Creates an exception with a retry delay; {@code retryAfter} and {@code cause} may be null. */
    public RequestFailedException(ErrorKind kind, String message, Duration retryAfter, Throwable cause) {
        super(message, cause);
        this.kind = Preconditions.checkNotNull(kind, "kind");
        this.retryAfter = retryAfter;
    }

    /** Returns the kind of failure. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the delay after which the caller may retry, if known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
