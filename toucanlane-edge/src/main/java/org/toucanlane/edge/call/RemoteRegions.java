package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.policy.placement.PlacementCandidate;

/**
 * The endpoints of other regions at which a request may be placed, and the hosts there to which it is forwarded.
 *
 * <p>Invariant: a region that has refused a request gets none for {@link #REFUSING_REGION_BACKOFF}. Used on the host's
 * event loop only.
 */
final class RemoteRegions {

    /** Latency added by forwarding to another region: a round trip between two distant hosts. */
    static final double ROUND_TRIP_MILLIS = 130;

    /** Cost of forwarding to another region in milliseconds: the round trip, and a margin for the traffic. */
    static final double DISTANCE_MILLIS = ROUND_TRIP_MILLIS + 40;

    /** Time without new requests to a region that has refused one; its next reports arrive within it. */
    private static final Duration REFUSING_REGION_BACKOFF = Duration.ofMillis(250);

    private final Fleet fleet;
    private final String region;
    private final CandidateFinder candidateFinder;
    private final Predicate<HostHandle> responsive;
    private final RandomGenerator random;
    private final Map<RegionService, Long> backoffUntil = new HashMap<>();

    /**
     * Creates the view of a host.
     *
     * @param region region of this host
     * @param responsive tests whether the reports of another host arrive on time
     */
    RemoteRegions(
            Fleet fleet,
            String region,
            CandidateFinder candidateFinder,
            Predicate<HostHandle> responsive,
            RandomGenerator random) {
        this.fleet = fleet;
        this.region = region;
        this.candidateFinder = candidateFinder;
        this.responsive = responsive;
        this.random = random;
    }

    /**
     * Returns the endpoints of other regions that can take {@code call} now.
     *
     * @param tried endpoints and hosts that have already failed the request
     */
    List<PlacementCandidate> candidates(AdmittedCall call, Set<String> tried, long now) {
        return fleet.hosts().stream()
                .map(host -> host.entry().region())
                .distinct()
                .filter(other -> !other.equals(region)
                        && call.mayRunIn(other)
                        && backoffUntil.getOrDefault(new RegionService(other, call.service()), now) - now <= 0
                        && !reachableHosts(other, tried).isEmpty())
                .flatMap(other -> candidateFinder
                        .find(
                                call,
                                other,
                                DISTANCE_MILLIS,
                                endpoint -> endpoint.isUsableElsewhere(now) && !endpoint.isCold(now),
                                now)
                        .stream())
                .toList();
    }

    /**
     * Returns a random host of another region, chosen with a probability in proportion to its capacity, or empty if none
     * can be reached.
     *
     * @param tried endpoints and hosts that have already failed the request
     */
    Optional<HostHandle> chooseHost(String other, Set<String> tried) {
        List<HostHandle> hosts = reachableHosts(other, tried);
        double total = hosts.stream().mapToDouble(host -> host.entry().weight()).sum();
        double position = random.nextDouble() * total;
        for (HostHandle host : hosts) {
            position -= host.entry().weight();
            if (position < 0) {
                return Optional.of(host);
            }
        }
        return hosts.isEmpty() ? Optional.empty() : Optional.of(hosts.get(hosts.size() - 1));
    }

    private List<HostHandle> reachableHosts(String other, Set<String> tried) {
        return fleet.hosts().stream()
                .filter(host -> host.entry().region().equals(other)
                        && responsive.test(host)
                        && !tried.contains(host.entry().name()))
                .toList();
    }

    /** Records that a host in another region has refused a request for {@code service}. */
    void recordRefusal(String host, String service, long now) {
        fleet.host(host)
                .ifPresent(known -> backoffUntil.put(
                        new RegionService(known.entry().region(), service), now + REFUSING_REGION_BACKOFF.toNanos()));
    }

    private record RegionService(String region, String service) {}
}
