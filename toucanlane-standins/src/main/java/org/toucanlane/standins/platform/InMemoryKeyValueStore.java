package org.toucanlane.standins.platform;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.VersionedValue;

/** A linearizable in-memory key-value store with one revision counter for all keys. Thread-safe. */
public final class InMemoryKeyValueStore implements KeyValueStore {

    @GuardedBy("this")
    private final Map<String, VersionedValue> values = new HashMap<>();

    @GuardedBy("this")
    private long revision;

    @Override
    public synchronized Optional<VersionedValue> get(String key) {
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized long compareAndSwap(String key, byte[] value, long expected) throws StoreConflictException {
        long actual = revisionOf(key);
        if (actual != expected) {
            throw new StoreConflictException(key, expected, actual);
        }
        values.put(key, new VersionedValue(++revision, value.clone()));
        notifyAll();
        return revision;
    }

    private synchronized long revisionOf(String key) {
        VersionedValue value = values.get(key);
        return value == null ? ABSENT : value.revision();
    }

    @Override
    public synchronized Optional<VersionedValue> watch(String key, long after, Duration wait) {
        long deadlineNanos = System.nanoTime() + wait.toNanos();
        long remainingMillis = wait.toMillis();
        try {
            while (revisionOf(key) <= after && remainingMillis > 0) {
                wait(remainingMillis);
                remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return get(key).filter(value -> value.revision() > after);
    }
}
