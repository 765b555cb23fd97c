package org.toucanlane.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Determines the hosts to which a host keeps links and the heartbeat interval of each link.
 *
 * <p>A host links to all hosts of its own data centre. It links to all hosts of the other data centres while those are
 * few, otherwise to a few per data centre, which rendezvous hashing selects differently for each host. It also links to
 * the hosts to which a link was requested recently. The heartbeat interval grows with the number of links, so that the
 * cost of heartbeats per host is about the same for any fleet size. Stateless and thread-safe.
 */
final class LinkPlan {

    /** Maximum number of hosts in other data centres for which a host links to all of them. */
    static final int MAX_FULL_MESH_HOSTS = 24;

    /** Number of links to each other data centre if there are more hosts than that. */
    static final int LINKS_PER_DATA_CENTRE = 2;

    /** Maximum number of links with heartbeats at the base interval; for twice as many the interval doubles. */
    private static final int MAX_LINKS_AT_BASE_INTERVAL = 8;

    private LinkPlan() {}

    /**
     * Returns the heartbeat interval for each host to link to.
     *
     * @param self the host that keeps the links
     * @param requested hosts to which a link was requested
     */
    static Map<String, Duration> heartbeatIntervals(
            String self,
            String ownDataCentre,
            Map<String, List<String>> hostsByDataCentre,
            Set<String> requested,
            Duration baseInterval) {
        List<String> localHosts = otherHosts(self, hostsByDataCentre.getOrDefault(ownDataCentre, List.of()));
        List<String> remoteHosts = hostsByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ownDataCentre))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
        if (remoteHosts.size() > MAX_FULL_MESH_HOSTS) {
            remoteHosts = hostsByDataCentre.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(ownDataCentre))
                    .flatMap(entry ->
                            RendezvousHash.rank(self, entry.getValue()).stream().limit(LINKS_PER_DATA_CENTRE))
                    .toList();
        }
        Map<String, Duration> plan = new HashMap<>();
        hostsByDataCentre.values().stream()
                .flatMap(List::stream)
                .filter(requested::contains)
                .filter(host -> !host.equals(self))
                .forEach(host -> plan.put(host, baseInterval));
        remoteHosts.forEach(
                host -> plan.put(host, scaleInterval(baseInterval, remoteLinkCount(hostsByDataCentre, ownDataCentre))));
        localHosts.forEach(host -> plan.put(host, scaleInterval(baseInterval, localHosts.size())));
        return plan;
    }

    private static List<String> otherHosts(String self, List<String> hosts) {
        return hosts.stream().filter(host -> !host.equals(self)).toList();
    }

    /** Returns the nominal number of links to other data centres, which depends only on the size of the fleet. */
    private static int remoteLinkCount(Map<String, List<String>> hostsByDataCentre, String ownDataCentre) {
        int remoteHosts = hostsByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ownDataCentre))
                .mapToInt(entry -> entry.getValue().size())
                .sum();
        int sparseLinks = (hostsByDataCentre.size() - 1) * LINKS_PER_DATA_CENTRE;
        return remoteHosts > MAX_FULL_MESH_HOSTS ? sparseLinks : remoteHosts;
    }

    private static Duration scaleInterval(Duration base, int links) {
        int factor = Math.max(1, (links + MAX_LINKS_AT_BASE_INTERVAL - 1) / MAX_LINKS_AT_BASE_INTERVAL);
        return base.multipliedBy(factor);
    }
}
