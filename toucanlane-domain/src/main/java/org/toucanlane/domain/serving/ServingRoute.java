package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A route by host name and path, as a host serves it. Immutable and thread-safe.
 *
 * @param name unique name
 * @param hostName name that callers address
 * @param pathPrefix start of the paths that belong to it; begins and ends with a slash
 * @param kind how often a request may run
 * @param resumable whether a broken stream may go on at another endpoint
 * @param timeout longest time that a caller is kept waiting
 * @param latencyObjective time within which an answer has its full value
 * @param maxEventGap longest pause between the events of a stream that is still on time
 * @param priority rank among routes; 0 is the most urgent
 * @param weightedServices services that requests are divided between; not empty
 * @param maxEndpoints endpoints to which one request may be sent at most
 * @param open whether requests without a key may use it
 * @param prefixAffinity whether requests share prompt prefixes that endpoints keep
 * @param regions regions in which requests may run; empty for all
 */
public record ServingRoute(
        String name,
        String hostName,
        String pathPrefix,
        CallKind kind,
        boolean resumable,
        Duration timeout,
        Duration latencyObjective,
        Optional<Duration> maxEventGap,
        OptionalInt priority,
        List<WeightedService> weightedServices,
        int maxEndpoints,
        boolean open,
        boolean prefixAffinity,
        Set<String> regions) {

    /** Creates a route. */
    public ServingRoute {
        Preconditions.checkArgument(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "pathPrefix must begin and end with a slash: %s",
                pathPrefix);
        Preconditions.checkArgument(!weightedServices.isEmpty(), "route %s has no service", name);
        Preconditions.checkArgument(maxEndpoints > 0, "maxEndpoints must be positive: %s", maxEndpoints);
        weightedServices = List.copyOf(weightedServices);
        regions = Set.copyOf(regions);
    }

    /** Returns whether a request that may have run can be sent again. */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /** Returns the service for a request, from a uniformly distributed hash of its id. */
    public String serviceFor(long hash) {
        int total = weightedServices.stream().mapToInt(WeightedService::weight).sum();
        if (weightedServices.size() == 1 || total == 0) {
            return weightedServices.get(0).service();
        }
        long point = Math.floorMod(hash, (long) total);
        for (WeightedService share : weightedServices) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
