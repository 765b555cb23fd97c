package org.toucanlane.coordination.store;

/** Thrown when the key-value service gave no usable answer. */
public final class StoreException extends Exception {

    private static final long serialVersionUID = 1L;

    private final boolean mayHaveTakenEffect;

    private StoreException(String message, Throwable cause, boolean mayHaveTakenEffect) {
        super(message, cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns an exception for a call that certainly changed nothing. */
    public static StoreException withoutEffect(String message, Throwable cause) {
        return new StoreException(message, cause, false);
    }

    /** Returns an exception for a call whose answer was lost after it may have been carried out. */
    public static StoreException ambiguous(String message, Throwable cause) {
        return new StoreException(message, cause, true);
    }

    /** Returns whether a write may stand although no answer came. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
