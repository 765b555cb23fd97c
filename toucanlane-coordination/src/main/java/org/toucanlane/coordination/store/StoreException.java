package org.toucanlane.coordination.store;

/** Thrown when the key-value service does not return a usable response. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;
    private final boolean rateLimited;

    private StoreException(String message, Throwable cause, boolean mayHaveTakenEffect, boolean rateLimited) {
        super(message, cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
        this.rateLimited = rateLimited;
    }

    /** Returns an exception for a call that the service rejected because of its rate limit; nothing was changed. */
    public static StoreException rateLimited(String message) {
        return new StoreException(message, null, false, true);
    }

    /** Returns an exception for a call that had no effect. */
    public static StoreException withoutEffect(String message, Throwable cause) {
        return new StoreException(message, cause, false, false);
    }

    /** Returns an exception for a call whose outcome is unknown; it may have been applied. */
    public static StoreException ambiguous(String message, Throwable cause) {
        return new StoreException(message, cause, true, false);
    }

    /** Returns whether a write may have been applied although the call failed. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }

    /** Returns whether the service rejected the call because of its rate limit. */
    public boolean isRateLimited() {
        return rateLimited;
    }
}
