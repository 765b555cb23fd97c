package org.toucanlane.platform.endpoint;

import java.io.IOException;

/** Thrown when no response was received from an endpoint. */
public final class EndpointException extends Exception {

    private static final long serialVersionUID = 1L;

    /** How far the request may have got. */
    public enum Reason {
        /** No connection was established, so no byte was sent. */
        NOT_SENT,
        /** The connection failed after bytes of the request may have been sent. */
        FAILED,
        /** No response was received in time after bytes of the request may have been sent. */
        TIMED_OUT
    }

    private final Reason reason;

    EndpointException(Reason reason, String message, IOException cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns how far the request may have got. */
    public Reason reason() {
        return reason;
    }
}
