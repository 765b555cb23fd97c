package org.toucanlane.edge.state;

/**
 * What a host knows of the store.
 *
 * @param revision newest revision of the store that it has
 * @param ageMillis time since nothing newer is known to have been written, or -1 if that isn't known
 * @param returnedMillis time since the store could be reached again after an outage, or -1 if there was none lately
 */
public record StoreKnowledge(long revision, long ageMillis, long returnedMillis) {

    /** Nothing is known. */
    public static final StoreKnowledge NONE = new StoreKnowledge(0, -1, -1);
}
