package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * A host's view of an endpoint at the time of a routing decision.
 *
 * @param name name of the endpoint
 * @param nameHash hash of the name by {@link RendezvousHash#hash}
 * @param capacity number of requests that it serves concurrently without queueing, positive
 * @param ownRunning requests from this host that are in flight there
 * @param othersRunning requests from other hosts that are in flight there, according to delayed load reports
 * @param available whether it may receive new work: it is not draining, ejected or reported unavailable
 */
public record EndpointView(
        String name, long nameHash, int capacity, int ownRunning, int othersRunning, boolean available) {

    /** Returns a view of the endpoint {@code name}, hashing its name. */
    public static EndpointView of(String name, int capacity, int ownRunning, int othersRunning, boolean available) {
        return new EndpointView(name, RendezvousHash.hash(name), capacity, ownRunning, othersRunning, available);
    }

    /** Validates the components. */
    public EndpointView {
        Preconditions.checkArgument(capacity > 0, "capacity must be positive: %s", capacity);
        Preconditions.checkArgument(ownRunning >= 0, "ownRunning must not be negative: %s", ownRunning);
        Preconditions.checkArgument(othersRunning >= 0, "othersRunning must not be negative: %s", othersRunning);
    }

    /** Returns the estimated utilization of its capacity; 1 is full. */
    public double load() {
        return (ownRunning + othersRunning) / (double) capacity;
    }
}
