package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.Optional;

/**
 * A linearizable key-value service with compare-and-swap and watches.
 *
 * <p>Implementations are thread-safe and never repeat a write by themselves.
 */
public interface KeyValueStore {

    /** Revision that a key has while it does not exist. */
    long ABSENT = 0;

    /**
     * Returns the value under {@code key}, or empty if there is none.
     *
     * @throws StoreException if the service did not answer
     */
    Optional<VersionedValue> get(String key) throws StoreException;

    /**
     * Writes {@code value} if the key's revision is {@code expected}, and returns the new revision.
     *
     * @throws StoreConflictException if the key had another revision; nothing was written
     * @throws StoreException if the service did not answer; {@link StoreException#mayHaveTakenEffect()} tells whether
     *     the write may stand all the same
     */
    long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException;

    /**
     * Waits until the key's revision is larger than {@code after}, and returns the value then, or empty after
     * {@code wait}.
     *
     * @throws StoreException if the service did not answer
     */
    Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException;
}
