package org.toucanlane.edge.host;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.policy.directory.CallerSpread;

/**
 * Selects the hosts that a caller should use: those of the caller's region or, if there are none, those of the regions
 * in which most routes of the requested host name are allowed. If the hosts differ in capacity, the smaller ones are named
 * to fewer callers.
 *
 * <p>A host is listed while its lease is valid, unless it is in this host's region and has stopped reporting. Not
 * thread-safe; confined to the host's event loop.
 */
public final class HostDirectory {

    /** Maximum number of addresses in a response, which bounds its size. */
    private static final int MAX_ADDRESSES = 64;

    private final Fleet fleet;
    private final HostRecord self;
    private final Predicate<HostHandle> presumedAlive;
    private boolean draining;

    HostDirectory(Fleet fleet, HostRecord self, Predicate<HostHandle> presumedAlive) {
        this.fleet = fleet;
        this.self = self;
        this.presumedAlive = presumedAlive;
    }

    /** Excludes this host from all further results. */
    void markDraining() {
        draining = true;
    }

    /**
     * Returns the hosts for a caller in {@code region} that resolves {@code hostName}, or an empty list if none is
     * known.
     *
     * @param caller IP address of the caller
     */
    public List<HostRecord> hostsFor(String hostName, String region, String caller) {
        return spread(candidatesFor(hostName, region), caller);
    }

    private static List<HostRecord> spread(List<HostRecord> hosts, String caller) {
        Set<String> selected = Set.copyOf(CallerSpread.select(
                hosts.stream()
                        .map(host -> new CallerSpread.Candidate(host.name(), host.weight()))
                        .toList(),
                caller));
        return hosts.stream()
                .filter(host -> selected.contains(host.name()))
                .limit(MAX_ADDRESSES)
                .toList();
    }

    private List<HostRecord> candidatesFor(String hostName, String region) {
        List<HostRecord> inRegion = select(host -> host.region().equals(region));
        if (!inRegion.isEmpty()) {
            return inRegion;
        }
        List<ServingRoute> routes =
                fleet.configuration().map(current -> current.routesOf(hostName)).orElse(ImmutableList.of());
        List<HostRecord> all = select(host -> true);
        long mostRoutes = all.stream()
                .mapToLong(host -> countRoutesAllowedIn(host.region(), routes))
                .max()
                .orElse(0);
        return all.stream()
                .filter(host -> countRoutesAllowedIn(host.region(), routes) == mostRoutes)
                .toList();
    }

    private static long countRoutesAllowedIn(String region, List<ServingRoute> routes) {
        return routes.stream()
                .filter(route -> route.regions().isEmpty() || route.regions().contains(region))
                .count();
    }

    private List<HostRecord> select(Predicate<HostRecord> filter) {
        List<HostRecord> selected = new ArrayList<>();
        if (!draining && filter.test(self)) {
            selected.add(self);
        }
        fleet.hosts().stream()
                .filter(host -> filter.test(host.entry()) && !isUnresponsive(host))
                .map(HostHandle::entry)
                .forEach(selected::add);
        return selected;
    }

    /**
     * Returns whether {@code host} has stopped reporting and is taken to be down. This applies to this host's own
     * region only: missing reports from another region may be due to a network partition between the regions.
     */
    private boolean isUnresponsive(HostHandle host) {
        return host.entry().region().equals(self.region()) && host.hasEverReported() && !presumedAlive.test(host);
    }
}
