package org.toucanlane.coordination.snapshot;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A reference to the latest version of a value seen so far (read-copy-update).
 *
 * <p>Invariant: the version never decreases. Readers take no lock and see either the complete old value or the complete
 * new one. Thread-safe.
 *
 * @param <T> type of the value
 */
public final class MonotonicReference<T> {

    private final AtomicReference<Versioned<T>> current = new AtomicReference<>();

    /** Returns the latest value, or empty if none has been set. */
    public Optional<Versioned<T>> get() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the latest version, or 0 if none has been set. */
    public long version() {
        Versioned<T> value = current.get();
        return value == null ? 0 : value.version();
    }

    /** Replaces the value if {@code next} has a larger version. Returns whether the value was replaced. */
    public boolean advance(Versioned<T> next) {
        Versioned<T> before = current.get();
        while (before == null || before.version() < next.version()) {
            if (current.compareAndSet(before, next)) {
                return true;
            }
            before = current.get();
        }
        return false;
    }
}
