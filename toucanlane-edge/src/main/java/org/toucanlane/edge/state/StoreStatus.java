package org.toucanlane.edge.state;

/**
 * What a host knows of the store.
 *
 * @param revision newest revision of the store that it has
 * @param ageMillis time since nothing newer is known to have been written, or -1 if that isn't known
 * @param recoveredMillis time since the store could be reached again after an outage, or -1 if there was none lately
 */
public record StoreStatus(long revision, long ageMillis, long recoveredMillis) {

    /** Nothing is known. */
    public static final StoreStatus NONE = new StoreStatus(0, -1, -1);
}
