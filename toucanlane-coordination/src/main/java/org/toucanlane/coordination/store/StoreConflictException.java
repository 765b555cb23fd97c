package org.toucanlane.coordination.store;

/** Thrown when a compare-and-swap finds a revision other than the expected one. Nothing is written. */
public final class StoreConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final long actualRevision;

    /** Creates an exception for a key with its expected and its actual revision. */
    public StoreConflictException(String key, long expected, long actualRevision) {
        super("key " + key + " has revision " + actualRevision + ", expected " + expected);
        this.actualRevision = actualRevision;
    }

    /** Returns the actual revision of the key. */
    public long actualRevision() {
        return actualRevision;
    }
}
