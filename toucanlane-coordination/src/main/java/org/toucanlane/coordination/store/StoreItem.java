package org.toucanlane.coordination.store;

/**
 * A key and its value. The value is not copied and must not be modified.
 *
 * @param key the key
 * @param value the value
 * @param revision number of the revision of its last modification
 * @param lease lease to which the key is attached; 0 for none
 */
public record StoreItem(String key, byte[] value, long revision, long lease) {}
