package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * What a host knows of an endpoint when it decides.
 *
 * @param name name of the endpoint
 * @param nameHash hash of the name by {@link RendezvousHash#hash}
 * @param capacity requests that it serves at the same time without queueing, positive
 * @param ownRunning requests of this host that it is working on
 * @param othersRunning requests of other hosts that it is believed to be working on, from lagging reports
 * @param available whether it may get new work: not leaving, not ejected, not reported unavailable
 */
public record EndpointView(
        String name, long nameHash, int capacity, int ownRunning, int othersRunning, boolean available) {

    /** Returns a view of the endpoint {@code name}, hashing its name. */
    public static EndpointView of(String name, int capacity, int ownRunning, int othersRunning, boolean available) {
        return new EndpointView(name, RendezvousHash.hash(name), capacity, ownRunning, othersRunning, available);
    }

    /** Creates a view. */
    public EndpointView {
        Preconditions.checkArgument(capacity > 0, "capacity must be positive: %s", capacity);
        Preconditions.checkArgument(ownRunning >= 0, "ownRunning must not be negative: %s", ownRunning);
        Preconditions.checkArgument(othersRunning >= 0, "othersRunning must not be negative: %s", othersRunning);
    }

    /** Returns the believed use of its capacity; 1 is full. */
    public double load() {
        return (ownRunning + othersRunning) / (double) capacity;
    }
}
