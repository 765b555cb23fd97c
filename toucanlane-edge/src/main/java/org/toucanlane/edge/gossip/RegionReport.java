package org.toucanlane.edge.gossip;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;

/**
 * The data of one region in a {@link FleetReport}: of the sender alone, or of all hosts of the region from which the
 * sender has reports.
 *
 * <p>Hosts and endpoints are identified by their tags. Immutable.
 *
 * @param region name of the region
 * @param ageMillis time since the sender received the newest report that is included
 * @param includesSummary whether hosts and account usage are included; a split report includes them in its first part
 *     only
 * @param hosts hosts that are included
 * @param endpoints load of these hosts, by endpoint
 * @param accountUsage demand and bucket levels of these hosts, by account
 * @param cachedSegments recently sent prompt segments, by endpoint
 */
public record RegionReport(
        String region,
        long ageMillis,
        boolean includesSummary,
        Set<Integer> hosts,
        Map<Integer, EndpointUsage> endpoints,
        Map<String, AccountUsage> accountUsage,
        Map<Integer, List<PromptSegment>> cachedSegments) {

    /** Copies the collections. */
    public RegionReport {
        hosts = Set.copyOf(hosts);
        endpoints = Map.copyOf(endpoints);
        accountUsage = Map.copyOf(accountUsage);
        cachedSegments = Map.copyOf(cachedSegments);
    }
}
