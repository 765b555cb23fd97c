package org.toucanlane.edge.fleet;

import java.util.Optional;

/** Reads the platform's keys and values. */
public interface FleetStoreFormat {

    /**
     * Tells {@code changes} what a key says now; keys of other kinds are passed over.
     *
     * @param value the value, or empty if the key was removed
     */
    void read(String key, Optional<byte[]> value, FleetListener changes);

    /** Returns the key of a host's record. */
    String hostKey(String host);
}
