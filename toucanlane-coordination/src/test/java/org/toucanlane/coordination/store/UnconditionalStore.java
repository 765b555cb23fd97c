package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.Optional;

/** A store whose swaps do not compare: the control in tests of what relies on that. */
public final class UnconditionalStore implements KeyValueStore {

    private final KeyValueStore store;

    /** Weakens {@code store}. */
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
