package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.queue.PlaceEstimate;

/** Thrown if this host refuses a request and sends the response itself. */
public class CallRefusedException extends Exception {

    private static final long serialVersionUID = 1;

    private final ErrorKind kind;
    private final transient Duration retryAfter;

    /**
     * Creates an exception.
     *
     * @param retryAfter time after which the caller may retry; zero if the error is not retryable
     */
    public CallRefusedException(ErrorKind kind, Duration retryAfter, String detail) {
        super(detail, null, false, false);
        this.kind = kind;
        this.retryAfter = retryAfter;
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the time after which the caller may retry. */
    public Duration retryAfter() {
        return retryAfter;
    }

    /** Returns when there may be room for a request that waits already, or empty if it may not wait for it. */
    Optional<PlaceEstimate> placeEstimate() {
        return kind == ErrorKind.OVERLOADED || kind == ErrorKind.NO_ENDPOINT
                ? Optional.of(new PlaceEstimate(retryAfter, Duration.ZERO, retryAfter))
                : Optional.empty();
    }
}
