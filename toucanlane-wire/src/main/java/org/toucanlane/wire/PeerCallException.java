package org.toucanlane.wire;

import org.toucanlane.wire.proto.CallEnd;

/** Thrown when a call to a peer did not return a complete response. */
public final class PeerCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Cause of the failure. */
    public enum Reason {
        /** The call was not written to a connection. */
        NOT_SENT,
        /** The peer ended the call with an error. */
        ENDED_BY_PEER,
        /** The connection was lost, or the response is incomplete or out of order. */
        BROKEN,
        /** The peer sent nothing within the timeout. */
        TIMED_OUT
    }

    private final Reason reason;
    private final String errorKind;
    private final long retryAfterMillis;

    private PeerCallException(Reason reason, String message, String errorKind, long retryAfterMillis) {
        super(message);
        this.reason = reason;
        this.errorKind = errorKind;
        this.retryAfterMillis = retryAfterMillis;
    }

    static PeerCallException notSent(String message) {
        return new PeerCallException(Reason.NOT_SENT, message, "", 0);
    }

    static PeerCallException endedByPeer(CallEnd end) {
        return new PeerCallException(
                Reason.ENDED_BY_PEER, end.getErrorMessage(), end.getErrorKind(), end.getRetryAfterMillis());
    }

    static PeerCallException broken(String message) {
        return new PeerCallException(Reason.BROKEN, message, "", 0);
    }

    static PeerCallException timedOut() {
        return new PeerCallException(Reason.TIMED_OUT, "the peer did not answer in time", "", 0);
    }

    /** Returns the cause of the failure. */
    public Reason reason() {
        return reason;
    }

    /** Returns the name of the error kind that the peer sent; empty unless the reason is {@code ENDED_BY_PEER}. */
    public String errorKind() {
        return errorKind;
    }

    /** Returns the delay in milliseconds after which to retry; 0 if the peer gave none. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
