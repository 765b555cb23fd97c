package org.toucanlane.edge.fleet;

import java.util.Optional;
import org.toucanlane.domain.serving.EndpointEntry;
import org.toucanlane.domain.serving.ServingConfiguration;

/** Takes what the store says of the fleet, one key at a time. */
public interface FleetListener {

    /** The configuration is now {@code next}. */
    void configurationChanged(ServingConfiguration next);

    /** An endpoint has written {@code entry}, or has none any more. */
    void endpointChanged(String id, Optional<EndpointEntry> entry);

    /** Endpoints of a data centre are to get nothing, or may get requests again. */
    void evacuationChanged(String dataCentre, boolean active);

    /** A host has written {@code entry}, or has none any more. */
    void hostChanged(String name, Optional<HostRecord> entry);

    /** An endpoint's entry can't be read, so it names no endpoint to use. */
    void endpointUnreadable(String id, String reason);

    /** Another value can't be read; what it said before stays in force. */
    void valueUnreadable(String key, String reason);
}
