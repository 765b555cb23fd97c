package org.toucanlane.policy.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Selects the hosts of a region that aggregate and relay the load reports of the others.
 *
 * <p>Load pattern: hundreds of hosts that each need the load of all endpoints several times a second. If every host
 * reported to every other, the number of reports that a host receives would grow with the fleet; with two relays per
 * region it does not depend on the size of the fleet. In a small region all hosts are relays and report to each other
 * directly. The hosts with the largest capacity are selected, since the cost of aggregation grows with the region. Ties
 * are broken by hash, so that hosts with the same view make the same selection without coordination. Stateless and
 * thread-safe.
 */
public final class RelaySelector {

    /**
     * Maximum size of a region in which all hosts report to each other: this costs each host as much as a relay's
     * report, and the reports arrive sooner.
     */
    private static final int SMALL_REGION_HOSTS = 6;

    /** Number of relays of a larger region: one may fail without interrupting the reports. */
    private static final int RELAYS_PER_REGION = 2;

    private RelaySelector() {}

    /** Returns the names of the relays in order of preference. */
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
     * A live host.
     *
     * @param name name of the host
     * @param weight capacity relative to other hosts
     */
    public record Candidate(String name, double weight) {}
}
