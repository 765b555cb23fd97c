package org.toucanlane.edge.host;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;

/**
 * Tells callers which hosts to use: those of the caller's region, or else those of the regions in which most routes of
 * the host name may run.
 *
 * <p>A host is named as long as its lease stands, unless it reports to its neighbours no longer. Used on the host's event
 * loop only.
 */
public final class HostDirectory {

    /** Addresses in one answer, which bounds its size. */
    private static final int MAX_ADDRESSES = 64;

    private final Fleet fleet;
    private final HostRecord self;
    private final Predicate<HostHandle> responsive;
    private boolean draining;

    HostDirectory(Fleet fleet, HostRecord self, Predicate<HostHandle> there) {
        this.fleet = fleet;
        this.self = self;
        this.responsive = there;
    }

    /** Leaves this host out of all answers from now on. */
    void markDraining() {
        draining = true;
    }

    /** Returns the hosts for a caller of {@code region} that asks for {@code hostName}; empty if none is known. */
    public List<HostRecord> hostsFor(String hostName, String region) {
        List<HostRecord> near = select(host -> host.region().equals(region));
        if (!near.isEmpty()) {
            return near;
        }
        List<ServingRoute> routes =
                fleet.configuration().map(current -> current.routesOf(hostName)).orElse(ImmutableList.of());
        List<HostRecord> all = select(host -> true);
        long most = all.stream()
                .mapToLong(host -> countRoutesAllowedIn(host.region(), routes))
                .max()
                .orElse(0);
        return all.stream()
                .filter(host -> countRoutesAllowedIn(host.region(), routes) == most)
                .toList();
    }

    private static long countRoutesAllowedIn(String region, List<ServingRoute> routes) {
        return routes.stream()
                .filter(route -> route.regions().isEmpty() || route.regions().contains(region))
                .count();
    }

    private List<HostRecord> select(Predicate<HostRecord> wanted) {
        List<HostRecord> chosen = new ArrayList<>();
        if (!draining && wanted.test(self)) {
            chosen.add(self);
        }
        fleet.hosts().stream()
                .filter(host -> wanted.test(host.entry()) && !isUnresponsive(host))
                .map(HostHandle::entry)
                .limit(MAX_ADDRESSES - 1L)
                .forEach(chosen::add);
        return chosen;
    }

    /** A neighbour that has fallen silent is not there for callers of its region either; far silence may be a cut. */
    private boolean isUnresponsive(HostHandle host) {
        return host.entry().region().equals(self.region()) && host.wasHeard() && !responsive.test(host);
    }
}
