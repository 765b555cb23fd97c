package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.Optional;

/**
 * A linearizable key-value service with compare-and-swap and watches.
 *
 * <p>Implementations are thread-safe and never retry a write on their own.
 */
public interface KeyValueStore {

    /** Revision of a key that does not exist. */
    long ABSENT = 0;

    /**
     * Returns the value under {@code key}, or empty if there is none.
     *
     * @throws StoreException if the service did not respond
     */
    Optional<VersionedValue> get(String key) throws StoreException;

    /**
     * Writes {@code value} if the key's revision equals {@code expected}, and returns the new revision.
     *
     * @throws StoreConflictException if the key had another revision; nothing was written
     * @throws StoreException if the service did not respond; {@link StoreException#mayHaveTakenEffect()} returns
     *     whether the write may nevertheless have been applied
     */
    long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException;

    /**
     * Waits until the key's revision is larger than {@code after}, and returns its value, or empty after
     * {@code wait}.
     *
     * @throws StoreException if the service did not respond
     */
    Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException;
}
