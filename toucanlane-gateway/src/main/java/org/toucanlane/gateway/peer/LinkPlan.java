package org.toucanlane.gateway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Which hosts a host keeps links to, and how often it sends heartbeats on each.
 *
 * <p>All of its own data centre; of each other one all while the fleet is small, else a few that differ from host to
 * host; and those wanted lately. Heartbeats become rarer as links become more, so that they cost a host about the same
 * at any size. Stateless and thread-safe.
 */
final class LinkPlan {

    /** Hosts of other data centres up to which there are links to all of them. */
    static final int MAX_FULL_MESH_HOSTS = 24;

    /** Links into each other data centre beyond that. */
    static final int LINKS_PER_DATA_CENTRE = 2;

    /** Links on which heartbeats go out at the base interval; with twice as many they go out half as often. */
    private static final int MAX_LINKS_AT_BASE_INTERVAL = 8;

    private LinkPlan() {}

    /** Returns the time between heartbeats for each host to link to. */
    static Map<String, Duration> heartbeatIntervals(
            String self,
            String ownDataCentre,
            Map<String, List<String>> hostsByDataCentre,
            Set<String> wanted,
            Duration baseInterval) {
        List<String> near = otherHosts(self, hostsByDataCentre.getOrDefault(ownDataCentre, List.of()));
        List<String> far = hostsByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ownDataCentre))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
        if (far.size() > MAX_FULL_MESH_HOSTS) {
            far = hostsByDataCentre.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(ownDataCentre))
                    .flatMap(entry ->
                            RendezvousHash.rank(self, entry.getValue()).stream().limit(LINKS_PER_DATA_CENTRE))
                    .toList();
        }
        Map<String, Duration> plan = new HashMap<>();
        hostsByDataCentre.values().stream()
                .flatMap(List::stream)
                .filter(wanted::contains)
                .filter(host -> !host.equals(self))
                .forEach(host -> plan.put(host, baseInterval));
        far.forEach(
                host -> plan.put(host, scaleInterval(baseInterval, remoteLinkCount(hostsByDataCentre, ownDataCentre))));
        near.forEach(host -> plan.put(host, scaleInterval(baseInterval, near.size())));
        return plan;
    }

    private static List<String> otherHosts(String self, List<String> hosts) {
        return hosts.stream().filter(host -> !host.equals(self)).toList();
    }

    /** Returns how many far links a host has, as a number that changes only when the fleet's size does. */
    private static int remoteLinkCount(Map<String, List<String>> hostsByDataCentre, String ownDataCentre) {
        int far = hostsByDataCentre.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(ownDataCentre))
                .mapToInt(entry -> entry.getValue().size())
                .sum();
        int sparse = (hostsByDataCentre.size() - 1) * LINKS_PER_DATA_CENTRE;
        return far > MAX_FULL_MESH_HOSTS ? sparse : far;
    }

    private static Duration scaleInterval(Duration base, int links) {
        int factor = Math.max(1, (links + MAX_LINKS_AT_BASE_INTERVAL - 1) / MAX_LINKS_AT_BASE_INTERVAL);
        return base.multipliedBy(factor);
    }
}
