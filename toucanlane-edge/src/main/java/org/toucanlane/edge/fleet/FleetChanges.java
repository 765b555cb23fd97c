package org.toucanlane.edge.fleet;

import java.util.Optional;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.ServingConfiguration;

/** Takes what the store says of the fleet, one key at a time. */
public interface FleetChanges {

    /** The configuration is now {@code next}. */
    void configuration(ServingConfiguration next);

    /** An endpoint has written {@code entry}, or has none any more. */
    void endpoint(String id, Optional<EndpointRegistration> entry);

    /** Endpoints of a data centre are to get nothing, or may get requests again. */
    void evacuation(String dataCentre, boolean active);

    /** A host has written {@code entry}, or has none any more. */
    void host(String name, Optional<HostRecord> entry);

    /** An endpoint's entry can't be read, so it names no endpoint to use. */
    void endpointUnreadable(String id, String reason);

    /** Another value can't be read; what it said before stays in force. */
    void unreadable(String key, String reason);
}
