package org.toucanlane.coordination.store;

/**
 * A key with its value. The value is not copied and must not be changed.
 *
 * @param key the key
 * @param value the value
 * @param revision revision of its last change
 * @param lease lease with which the key ends; 0 for none
 */
public record StoreItem(String key, byte[] value, long revision, long lease) {}
