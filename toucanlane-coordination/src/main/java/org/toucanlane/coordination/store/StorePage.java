package org.toucanlane.coordination.store;

import java.util.List;

/**
 * A part of a range of keys. Pages of a range are no snapshot of it.
 *
 * @param items keys in order
 * @param hasMore whether keys follow behind the last item
 * @param revision revision of the store when the page was read
 */
public record StorePage(List<StoreItem> items, boolean hasMore, long revision) {

    /** Creates a page. */
    public StorePage {
        items = List.copyOf(items);
    }
}
