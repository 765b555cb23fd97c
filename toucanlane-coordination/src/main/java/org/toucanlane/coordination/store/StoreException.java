package org.toucanlane.coordination.store;

/** Thrown when the key-value service gave no usable answer. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;
    private final boolean rateLimited;

    private StoreException(String message, Throwable cause, boolean mayHaveTakenEffect, boolean overRate) {
        super(message, cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
        this.rateLimited = overRate;
    }

    /** Returns an exception for a call that the service refused because it gets too many; nothing was changed. */
    public static StoreException rateLimited(String message) {
        return new StoreException(message, null, false, true);
    }

    /** Returns an exception for a call that certainly changed nothing. */
    public static StoreException withoutEffect(String message, Throwable cause) {
        return new StoreException(message, cause, false, false);
    }

    /** Returns an exception for a call whose answer was lost after it may have been carried out. */
    public static StoreException ambiguous(String message, Throwable cause) {
        return new StoreException(message, cause, true, false);
    }

    /** Returns whether a write may stand although no answer came. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }

    /** Returns whether the service refused the call because it gets too many. */
    public boolean isRateLimited() {
        return rateLimited;
    }
}
