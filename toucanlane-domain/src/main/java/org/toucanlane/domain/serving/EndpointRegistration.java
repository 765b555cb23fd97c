package org.toucanlane.domain.serving;

import com.google.common.base.CharMatcher;
import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The entry that an endpoint has published about itself in the service registry.
 *
 * @param id endpoint name; a later process may reuse it with a later start time
 * @param service service that it belongs to
 * @param address IP address
 * @param port TCP port
 * @param dataCentre data centre that it runs in
 * @param slots maximum number of concurrent requests
 * @param state whether it accepts new requests
 * @param remainingColdStart remaining cold-start time, during which its request rate is limited, as of when the
 *     entry was written
 * @param startedAtMillis start time of its process in Unix milliseconds, if published
 * @param model model that it serves, if published
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

    /** Maximum remaining cold-start time. */
    private static final Duration MAX_COLD_START = Duration.ofDays(1);

    /** Characters of an id, which is sent as the value of a header. */
    private static final CharMatcher ID_CHARACTERS = CharMatcher.inRange('!', '~');

    /**
     * Creates a registration.
     *
     * @throws IllegalArgumentException if a value is out of range, or the id isn't a word of visible ASCII characters
     */
    public EndpointRegistration {
        Preconditions.checkArgument(
                !id.isEmpty() && ID_CHARACTERS.matchesAllOf(id),
                "id is not a word of visible ASCII characters: %s",
                id);
        Preconditions.checkArgument(port > 0 && port < 65536, "port out of range: %s", port);
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(
                !remainingColdStart.isNegative() && remainingColdStart.compareTo(MAX_COLD_START) <= 0,
                "remaining cold-start time out of range: %s",
                remainingColdStart);
    }

    /** Returns whether {@code other} was published by the same endpoint process. */
    public boolean isSameProcess(EndpointRegistration other) {
        return startedAtMillis.equals(other.startedAtMillis)
                && address.equals(other.address)
                && port == other.port
                && service.equals(other.service);
    }

    /** Returns whether {@code other} was published by a process that started later, as far as start times are known. */
    public boolean isEarlierProcessThan(EndpointRegistration other) {
        return startedAtMillis.isPresent()
                && other.startedAtMillis.isPresent()
                && startedAtMillis.getAsLong() < other.startedAtMillis.getAsLong();
    }

    /** Whether an endpoint accepts new requests. */
    public enum State {
        /** Accepts new requests. */
        READY,
        /** Completes the requests in progress, accepts no new ones and is about to shut down. */
        DRAINING
    }
}
