package org.toucanlane.edge.fleet;

import java.util.Optional;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.ServingConfiguration;

/** Receives changes of the fleet as they are read from the store, one key at a time. */
public interface FleetListener {

    /** Called when the store contains the configuration {@code next}. */
    void configurationChanged(ServingConfiguration next);

    /** Called when an endpoint has written {@code entry}, or with empty when its entry was removed. */
    void endpointChanged(String id, Optional<EndpointRegistration> entry);

    /** Called when the evacuation of a data centre begins or ends; its endpoints get no requests while it is active. */
    void evacuationChanged(String dataCentre, boolean active);

    /** Called when a host has written {@code entry}, or with empty when its record was removed. */
    void hostChanged(String name, Optional<HostRecord> entry);

    /** Called when the entry of an endpoint cannot be parsed; the endpoint must not be used. */
    void endpointUnreadable(String id, String reason);

    /** Called when any other value cannot be parsed; the previous value stays in effect. */
    void valueUnreadable(String key, String reason);
}
