package org.toucanlane.wire;

import org.toucanlane.wire.proto.CallEnd;

/** Thrown when a call to a peer brought no whole answer. */
public final class PeerCallException extends Exception {

    private static final long serialVersionUID = 1L;

    /** What went wrong. */
    public enum Reason {
        /** The call was never put on a connection. */
        NOT_SENT,
        /** The peer ended the call with an error of its own. */
        ENDED_BY_PEER,
        /** The connection was lost, or the answer is not whole. */
        BROKEN,
        /** The time ran out. */
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

    /** Returns what went wrong. */
    public Reason reason() {
        return reason;
    }

    /** Returns the name of the error kind that the peer gave; empty unless it ended the call. */
    public String errorKind() {
        return errorKind;
    }

    /** Returns when to come back, in milliseconds; 0 if the peer did not say. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
