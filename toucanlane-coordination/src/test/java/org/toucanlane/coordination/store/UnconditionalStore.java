package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.Optional;

/** A store whose compare-and-swap always writes, as a negative control for tests that rely on the comparison. */
public final class UnconditionalStore implements KeyValueStore {

    private final KeyValueStore store;

    /** Creates a store that writes to {@code store} unconditionally. */
    public UnconditionalStore(KeyValueStore store) {
        this.store = store;
    }

    @Override
    public Optional<VersionedValue> get(String key) throws StoreException {
        return store.get(key);
    }

    @Override
    public long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException {
        try {
            return store.compareAndSwap(key, value, expected);
        } catch (StoreConflictException e) {
            return store.compareAndSwap(key, value, e.actualRevision());
        }
    }

    @Override
    public Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException {
        return store.watch(key, after, wait);
    }
}
