package org.toucanlane.edge.gossip;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.policy.relay.RelaySelector;

/**
 * The hosts to which a host sends reports, as given by the relays of each region.
 *
 * <p>Invariant: if all hosts see the same fleet, and aggregators pass on what they receive, anything sent to {@link
 * #ownRelays} reaches every host in at most three steps: relay, relay of another region, host there. Immutable.
 *
 * @param self this host
 * @param hostsByRegion the other hosts, by region
 * @param relays names of the relays of this host's region, in order of preference
 */
record ReportRoutes(HostRecord self, Map<String, List<HostRecord>> hostsByRegion, List<String> relays) {

    /** Maximum number of relays that send aggregates; if there are more relays, all other hosts are relays too. */
    private static final int MAX_AGGREGATORS = 2;

    /** Returns the routes of {@code self} among {@code others}. */
    static ReportRoutes of(HostRecord self, Collection<HostRecord> others) {
        Map<String, List<HostRecord>> byRegion = others.stream().collect(Collectors.groupingBy(HostRecord::region));
        List<HostRecord> neighbours = byRegion.getOrDefault(self.region(), List.of());
        return new ReportRoutes(self, byRegion, relayNames(Stream.concat(Stream.of(self), neighbours.stream())));
    }

    /** Returns whether this host is a relay of its region. */
    boolean isRelay() {
        return relays.contains(self.name());
    }

    /** Returns whether this host is one of the relays that report to hosts other than relays of their region. */
    boolean isAggregator() {
        return isRelay() && turn() < turns();
    }

    /** Returns the position of this host among the aggregators that take turns. */
    int turn() {
        return relays.indexOf(self.name());
    }

    /** Returns the number of aggregators that take turns. */
    int turns() {
        return Math.min(relays.size(), MAX_AGGREGATORS);
    }

    /** Returns the other relays of this host's region. */
    List<HostRecord> ownRelays() {
        return neighbours().filter(host -> relays.contains(host.name())).toList();
    }

    /** Returns the other hosts of this host's region that are no relays. */
    List<HostRecord> members() {
        return neighbours().filter(host -> !relays.contains(host.name())).toList();
    }

    /** Returns the relays of the other regions. */
    List<HostRecord> remoteRelays() {
        return hostsByRegion.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(self.region()))
                .flatMap(entry -> relaysOf(entry.getValue()))
                .toList();
    }

    /**
     * Returns the hosts to which this host sends what is passed on unchanged: its region's relays and, if it is an
     * aggregator, also the hosts that depend on it.
     */
    List<HostRecord> allReceivers() {
        return isAggregator()
                ? Stream.of(ownRelays(), members(), remoteRelays())
                        .flatMap(List::stream)
                        .toList()
                : ownRelays();
    }

    private Stream<HostRecord> neighbours() {
        return hostsByRegion.getOrDefault(self.region(), List.of()).stream();
    }

    private static Stream<HostRecord> relaysOf(List<HostRecord> hosts) {
        List<String> names = relayNames(hosts.stream());
        return hosts.stream().filter(host -> names.contains(host.name()));
    }

    private static List<String> relayNames(Stream<HostRecord> hosts) {
        return RelaySelector.select(hosts.map(host -> new RelaySelector.Candidate(host.name(), host.weight()))
                .toList());
    }
}
