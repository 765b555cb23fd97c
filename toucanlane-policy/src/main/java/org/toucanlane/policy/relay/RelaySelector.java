package org.toucanlane.policy.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Chooses the hosts of a region that gather the reports of the others.
 *
 * <p>Load pattern: hundreds of hosts that each need the load of all endpoints several times a second. If each told each
 * other, the reports that a host takes would grow with the fleet; with two that gather, a host takes the same number in
 * any fleet. In a small region all hosts are relays, so they hear each other directly. The strongest hosts are chosen, since the gathering grows with the region; equals are ranked by hash, so
 * that hosts with the same view choose alike without talking. Stateless and thread-safe.
 */
public final class RelaySelector {

    /** Hosts of a region that may all tell each other: it costs each as much as a relay's report, and comes sooner. */
    private static final int SMALL_REGION_HOSTS = 6;

    /** Relays of a larger region: one may fail without a gap. */
    private static final int RELAYS_PER_REGION = 2;

    private RelaySelector() {}

    /** Returns the names of the relays, the first one first. */
    public static List<String> select(Collection<Candidate> hosts) {
        return hosts.stream()
                .sorted(Comparator.comparingDouble(Candidate::weight)
                        .reversed()
                        .thenComparingLong(host -> RendezvousHash.hash(host.name()))
                        .thenComparing(Candidate::name))
                .limit(hosts.size() <= SMALL_REGION_HOSTS ? SMALL_REGION_HOSTS : RELAYS_PER_REGION)
                .map(Candidate::name)
                .toList();
    }

    /**
     * A host that lives.
     *
     * @param name its name
     * @param weight what it can carry, relative to other hosts
     */
    public record Candidate(String name, double weight) {}
}
