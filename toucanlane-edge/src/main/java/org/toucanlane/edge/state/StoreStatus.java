package org.toucanlane.edge.state;

import org.toucanlane.coordination.store.StoreRevision;

/**
 * The state of a host's copy of the store.
 *
 * @param revision newest store revision that the copy contains
 * @param ageMillis time since the copy was last known to be current, or -1 if unknown
 * @param recoveredMillis time since the store became reachable after an outage, or -1 if there was no recent outage
 */
public record StoreStatus(StoreRevision revision, long ageMillis, long recoveredMillis) {

    /** No copy, and no known outage. */
    public static final StoreStatus NONE = new StoreStatus(StoreRevision.NONE, -1, -1);
}
