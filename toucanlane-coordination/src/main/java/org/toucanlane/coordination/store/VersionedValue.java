package org.toucanlane.coordination.store;

import com.google.common.base.Preconditions;
import java.util.Arrays;

/**
 * A stored value with the revision of its last write. The bytes must not be modified.
 *
 * @param revision revision of the last write, positive
 * @param value the stored bytes, not null
 */
public record VersionedValue(long revision, byte[] value) {

    /** Creates a stored value. */
    public VersionedValue {
        Preconditions.checkArgument(revision > 0, "revision must be positive: %s", revision);
        Preconditions.checkNotNull(value, "value");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedValue that && revision == that.revision && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(revision) + Arrays.hashCode(value);
    }
}
