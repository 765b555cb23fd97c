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
 * @param host name that callers address
 * @param pathPrefix start of the paths that belong to it; begins and ends with a slash
 * @param kind how often a request may run
 * @param resumable whether a broken stream may go on at another endpoint
 * @param timeout longest time that a caller is kept waiting
 * @param objective time within which an answer has its full value
 * @param longestGap longest pause between the events of a stream that is still on time
 * @param priority rank among routes; 0 is the most urgent
 * @param services services that requests are divided between; not empty
 * @param maxEndpoints endpoints to which one request may be sent at most
 * @param open whether requests without a key may use it
 * @param affine whether requests share prompt prefixes that endpoints keep
 * @param regions regions in which requests may run; empty for all
 */
public record ServingRoute(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        boolean resumable,
        Duration timeout,
        Duration objective,
        Optional<Duration> longestGap,
        OptionalInt priority,
        List<ServiceShare> services,
        int maxEndpoints,
        boolean open,
        boolean affine,
        Set<String> regions) {

    /** Creates a route. */
    public ServingRoute {
        Preconditions.checkArgument(
                pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "pathPrefix must begin and end with a slash: %s",
                pathPrefix);
        Preconditions.checkArgument(!services.isEmpty(), "route %s has no service", name);
        Preconditions.checkArgument(maxEndpoints > 0, "maxEndpoints must be positive: %s", maxEndpoints);
        services = List.copyOf(services);
        regions = Set.copyOf(regions);
    }

    /** Returns whether a request that may have run can be sent again. */
    public boolean isRepeatable() {
        return kind.isRepeatable(resumable);
    }

    /** Returns the service for a request, from a uniformly distributed hash of its id. */
    public String serviceFor(long hash) {
        int total = services.stream().mapToInt(ServiceShare::weight).sum();
        if (services.size() == 1 || total == 0) {
            return services.get(0).service();
        }
        long point = Math.floorMod(hash, (long) total);
        for (ServiceShare share : services) {
            point -= share.weight();
            if (point < 0) {
                return share.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
