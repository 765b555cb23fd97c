package org.toucanlane.coordination.store;

import java.util.List;

/**
 * One page of a range of keys. The pages of a range do not form a consistent snapshot.
 *
 * @param items keys in order
 * @param hasMore whether more keys follow the last item
 * @param revision revision of the store when the page was read; the revisions of the items belong to the same era
 */
public record StorePage(List<StoreItem> items, boolean hasMore, StoreRevision revision) {

    /** Creates a page. */
    public StorePage {
        items = List.copyOf(items);
    }
}
