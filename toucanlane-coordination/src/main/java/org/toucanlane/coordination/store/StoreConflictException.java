package org.toucanlane.coordination.store;

/** Thrown when a compare-and-swap found another revision than expected. Nothing was written. */
public final class StoreConflictException extends Exception {

    private static final long serialVersionUID = 1L;

    private final long actualRevision;

    /** Creates an exception that names the key and the revision found. */
    public StoreConflictException(String key, long expected, long actualRevision) {
        super("key " + key + " has revision " + actualRevision + ", expected " + expected);
        this.actualRevision = actualRevision;
    }

    /** Returns the revision that the key had. */
    public long actualRevision() {
        return actualRevision;
    }
}
