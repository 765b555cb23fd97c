package org.toucanlane.coordination.store;

/** A call of an {@link AsyncStore} that was not carried out, or whose outcome is unknown. */
public final class AsyncStoreException extends Exception {

    private static final long serialVersionUID = 1;

    private final Reason reason;

    /** Creates an exception. */
    public AsyncStoreException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Creates an exception with the failure behind it. */
    public AsyncStoreException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns why the call failed. */
    public Reason reason() {
        return reason;
    }

    /** Why a call failed. */
    public enum Reason {
        /** The service can't be reached or gave no answer; a write may have been done or may be done later. */
        UNAVAILABLE,
        /** The service refused the call; nothing was done. */
        REFUSED,
        /** The history that a watch asked for is gone. */
        COMPACTED,
        /** A condition of the transaction does not hold; nothing was done. */
        CONFLICT,
        /** The lease has ended. */
        LEASE_EXPIRED
    }
}
