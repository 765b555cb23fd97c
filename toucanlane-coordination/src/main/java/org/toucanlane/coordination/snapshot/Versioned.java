package org.toucanlane.coordination.snapshot;

import com.google.common.base.Preconditions;

/**
 * An immutable value with the version under which it was published.
 *
 * @param version positive; increases with each publication
 * @param value the value, not null
 * @param <T> type of the value, which must itself be immutable
 */
public record Versioned<T>(long version, T value) {

    /** Creates a versioned value. */
    public Versioned {
        Preconditions.checkArgument(version > 0, "version must be positive: %s", version);
        Preconditions.checkNotNull(value, "value");
    }
}
