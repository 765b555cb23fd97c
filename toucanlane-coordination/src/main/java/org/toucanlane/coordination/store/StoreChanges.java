package org.toucanlane.coordination.store;

import java.util.List;
import java.util.Optional;

/**
 * What a watch has seen.
 *
 * @param changes changes in the order of their revisions
 * @param revision revision up to which the watch has seen everything
 */
public record StoreChanges(List<Change> changes, long revision) {

    /** Creates changes. */
    public StoreChanges {
        changes = List.copyOf(changes);
    }

    /**
     * A change of one key.
     *
     * @param key the key
     * @param revision revision of the change
     * @param item the key as it was written, or empty if it was removed
     */
    public record Change(String key, long revision, Optional<StoreItem> item) {}
}
