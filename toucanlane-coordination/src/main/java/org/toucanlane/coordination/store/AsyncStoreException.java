package org.toucanlane.coordination.store;

import java.util.concurrent.CompletionException;

/** Thrown when an {@link AsyncStore} call failed or its outcome is unknown. */
public final class AsyncStoreException extends Exception {

    private static final long serialVersionUID = 1;

    private final Reason reason;

    /** Creates an exception. */
    public AsyncStoreException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Creates an exception with its cause. */
    public AsyncStoreException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns the reason for the failure. */
    public Reason reason() {
        return reason;
    }

    /** Returns the reason for which a call failed, or {@code UNAVAILABLE} if {@code failure} doesn't tell. */
    public static Reason reasonOf(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof AsyncStoreException known ? known.reason() : Reason.UNAVAILABLE;
    }

    /** The reason for a failed call. */
    public enum Reason {
        /** The service is unreachable or did not respond; a write may have been applied or may be applied later. */
        UNAVAILABLE,
        /** The service rejected the call; nothing was changed. */
        REFUSED,
        /** The history from the watch's start revision has been compacted. */
        COMPACTED,
        /** The response exceeds the maximum size; the same call would exceed it again. */
        RESPONSE_TOO_LARGE,
        /** A condition of the transaction does not hold; nothing was changed. */
        CONFLICT,
        /** The lease has expired or been revoked. */
        LEASE_EXPIRED;

        /** Returns whether a watch that failed for this reason fails again if it is repeated with the same revision. */
        public boolean endsWatching() {
            return this == COMPACTED || this == RESPONSE_TOO_LARGE;
        }
    }
}
