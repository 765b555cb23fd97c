package org.toucanlane.edge.gossip;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;

/**
 * What is told of one region in a {@link FleetReport}: of its sender alone, or of all hosts that the sender hears there.
 *
 * <p>Hosts and endpoints are named by their tags. Immutable.
 *
 * @param region name of the region
 * @param ageMillis time since the newest report that is counted came to the sender
 * @param includesSummary whether hosts and uses are told; a report that is split tells them in its first part only
 * @param hosts hosts that are counted
 * @param endpoints what they have running, by endpoint
 * @param accountUsage what they have used and hold of accounts' limits, by account
 * @param cachedSegments prompt parts that were lately sent to endpoints, by endpoint
 */
public record RegionReport(
        String region,
        long ageMillis,
        boolean includesSummary,
        Set<Integer> hosts,
        Map<Integer, EndpointUsage> endpoints,
        Map<String, AccountUsage> accountUsage,
        Map<Integer, List<PromptSegment>> cachedSegments) {

    /** Creates a report. */
    public RegionReport {
        hosts = Set.copyOf(hosts);
        endpoints = Map.copyOf(endpoints);
        accountUsage = Map.copyOf(accountUsage);
        cachedSegments = Map.copyOf(cachedSegments);
    }
}
