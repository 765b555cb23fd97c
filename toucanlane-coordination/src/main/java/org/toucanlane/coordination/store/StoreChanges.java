package org.toucanlane.coordination.store;

import java.util.List;
import java.util.Optional;

/**
 * The changes that a watch has observed.
 *
 * @param changes changes in the order of their revisions
 * @param revision revision up to which the changes are complete; the revisions of the changes belong to the same era
 */
public record StoreChanges(List<Change> changes, StoreRevision revision) {

    /** Creates changes. */
    public StoreChanges {
        changes = List.copyOf(changes);
    }

    /**
     * A change of one key.
     *
     * @param key the key
     * @param revision revision of the change
     * @param item the item as written, or empty if the key was deleted
     */
    public record Change(String key, long revision, Optional<StoreItem> item) {}
}
