package org.toucanlane.platform.endpoint;

import java.io.IOException;

/** Thrown when an endpoint gave no answer. */
public final class EndpointException extends Exception {

    private static final long serialVersionUID = 1L;

    /** What may have happened to the request. */
    public enum Reason {
        /** No connection was made, so that no byte was sent. */
        NOT_SENT,
        /** A byte may have been sent, and the connection failed. */
        FAILED,
        /** A byte may have been sent, and no answer came in time. */
        TIMED_OUT
    }

    private final Reason reason;

    EndpointException(Reason reason, String message, IOException cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns what may have happened to the request. */
    public Reason reason() {
        return reason;
    }
}
