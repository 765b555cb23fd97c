package org.toucanlane.coordination.snapshot;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A reference to the newest version of a value seen so far (read-copy-update).
 *
 * <p>Invariant: the version never decreases. Readers take no lock and see either the old value or the new one whole.
 * Thread-safe.
 *
 * @param <T> type of the value
 */
public final class MonotonicReference<T> {

    private final AtomicReference<Versioned<T>> current = new AtomicReference<>();

    /** Returns the newest value, or empty before the first. */
    public Optional<Versioned<T>> get() {
        return Optional.ofNullable(current.get());
    }

    /** Returns the newest version, or 0 before the first. */
    public long version() {
        Versioned<T> value = current.get();
        return value == null ? 0 : value.version();
    }

    /** Replaces the value if {@code next} has a larger version; returns whether it did. */
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
