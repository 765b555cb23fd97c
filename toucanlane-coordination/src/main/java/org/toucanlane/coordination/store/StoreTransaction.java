package org.toucanlane.coordination.store;

import java.util.List;
import java.util.Map;

/**
 * Changes that are made together if all conditions hold.
 *
 * @param expectedRevisions revisions that keys must have; {@link KeyValueStore#ABSENT} for a key that must not exist
 * @param puts values to write
 * @param deletes keys to remove
 */
public record StoreTransaction(Map<String, Long> expectedRevisions, List<Put> puts, List<String> deletes) {

    /** Creates a transaction. */
    public StoreTransaction {
        expectedRevisions = Map.copyOf(expectedRevisions);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Returns a transaction that writes one key without a condition. */
    public static StoreTransaction put(String key, byte[] value, long lease) {
        return new StoreTransaction(Map.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /** Returns a transaction that removes one key without a condition. */
    public static StoreTransaction delete(String key) {
        return new StoreTransaction(Map.of(), List.of(), List.of(key));
    }

    /**
     * A value to write.
     *
     * @param key the key
     * @param value the value; not copied
     * @param lease lease with which the key ends; 0 for none
     */
    public record Put(String key, byte[] value, long lease) {}
}
