package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an endpoint has registered of itself.
 *
 * @param id name of this endpoint; a later process may take it again with a later start
 * @param service name of its service
 * @param address IP address
 * @param port TCP port
 * @param dataCentre name of its data centre
 * @param slots requests that it serves at once
 * @param state whether it takes work
 * @param remainingColdStart how much longer it bears only a low rate, counted from when the entry was written
 * @param startedAtMillis Unix milliseconds of the start of its process, if it says so
 * @param model model that it serves, if it says so
 */
public record EndpointRegistration(
        String id,
        String service,
        String address,
        int port,
        String dataCentre,
        int slots,
        State state,
        Duration remainingColdStart,
        OptionalLong startedAtMillis,
        Optional<String> model) {

    /** Creates an entry. */
    public EndpointRegistration {
        Preconditions.checkArgument(port > 0 && port < 65536, "port out of range: %s", port);
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
    }

    /** Returns whether {@code other} was written by the same process. */
    public boolean isSameProcess(EndpointRegistration other) {
        return startedAtMillis.equals(other.startedAtMillis)
                && address.equals(other.address)
                && port == other.port
                && service.equals(other.service);
    }

    /** Whether an endpoint takes work. */
    public enum State {
        /** It takes work. */
        READY,
        /** It finishes what it has and is about to leave. */
        DRAINING
    }
}
