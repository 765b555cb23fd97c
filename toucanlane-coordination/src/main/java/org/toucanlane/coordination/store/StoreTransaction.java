package org.toucanlane.coordination.store;

import java.util.List;
import java.util.Map;

/**
 * Changes that are applied atomically if all conditions hold.
 *
 * @param expectedRevisions required revisions by key; {@link KeyValueStore#ABSENT} for a key that must not exist
 * @param puts values to write
 * @param deletes keys to delete
 */
public record StoreTransaction(Map<String, Long> expectedRevisions, List<Put> puts, List<String> deletes) {

    /** Creates a transaction. */
    public StoreTransaction {
        expectedRevisions = Map.copyOf(expectedRevisions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Returns a transaction that writes one key unconditionally. */
    public static StoreTransaction put(String key, byte[] value, long lease) {
        return new StoreTransaction(Map.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /** Returns a transaction that deletes one key unconditionally. */
    public static StoreTransaction delete(String key) {
        return new StoreTransaction(Map.of(), List.of(), List.of(key));
    }

    /**
     * A key and the value to write.
     *
     * @param key the key
     * @param value the value; not copied
     * @param lease lease to which the key is attached; 0 for none
     */
    public record Put(String key, byte[] value, long lease) {}
}
