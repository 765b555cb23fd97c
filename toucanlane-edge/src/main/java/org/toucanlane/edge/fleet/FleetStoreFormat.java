package org.toucanlane.edge.fleet;

import java.util.Optional;

/** Maps the keys and values of the platform's store to fleet changes. */
public interface FleetStoreFormat {

    /**
     * Parses the current value of a key and passes it to {@code listener}; ignores keys of other kinds.
     *
     * @param value the value, or empty if the key was removed
     */
    void read(String key, Optional<byte[]> value, FleetListener listener);

    /** Returns the store key of a host's record. */
    String hostKey(String host);

    /** Returns the store key of the {@link org.toucanlane.edge.state.EraRecord}. */
    String eraKey();
}
