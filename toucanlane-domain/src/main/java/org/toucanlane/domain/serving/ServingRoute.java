package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * A route that matches requests by host name and path prefix. Immutable and thread-safe.
 *
 * @param name unique name
 * @param hostName host name in callers' requests
 * @param pathPrefix prefix of the paths that it matches; begins and ends with a slash
 * @param kind execution semantics of its requests
 * @param resumable whether an interrupted stream may be resumed at another endpoint
 * @param timeout request timeout
 * @param latencyObjective target latency of a response; for a stream, of its first event
 * @param maxEventGap target for the longest pause between two events of a stream, if any
 * @param priority priority, if any; 0 is the most urgent
 * @param weightedServices services among which requests are split by weight; not empty
 * @param maxEndpoints maximum number of endpoints that one request may be sent to
 * @param open whether requests without an API key are accepted
 * @param prefixAffinity whether requests share prompt prefixes that endpoints cache, so that prefix affinity pays off
 * @param regions regions in which requests may be executed; empty for all
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

    /** Returns whether a request may be retried although it may already have been executed. */
    public boolean isRetryable() {
        return kind.isRetryable(resumable);
    }

    /** Returns the service for a request, selected by weight from a uniformly distributed hash of its id. */
    public String serviceFor(long hash) {
        int totalWeight =
                weightedServices.stream().mapToInt(WeightedService::weight).sum();
        if (weightedServices.size() == 1 || totalWeight == 0) {
            return weightedServices.get(0).service();
        }
        long position = Math.floorMod(hash, (long) totalWeight);
        for (WeightedService candidate : weightedServices) {
            position -= candidate.weight();
            if (position < 0) {
                return candidate.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}
