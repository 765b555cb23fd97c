package org.toucanlane.edge.call;

import io.micrometer.core.instrument.Tags;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.policy.offer.HeldOffer;
import org.toucanlane.policy.offer.OverflowGate;
import org.toucanlane.policy.offer.ServiceOffer;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.placement.PlacementCandidate;
import org.toucanlane.policy.placement.PromptSize;

/**
 * The endpoints of other regions at which a request may be placed, and the hosts there to which it is forwarded.
 *
 * <p>A region is used while this host holds a part of its offer for the service, and overflow has begun. Three cases need no
 * offer: as long as no report carries any, regions are chosen by their load alone; requests that no endpoint of this region
 * serves, or that may not run in it, belong to the demand of the other region; and requests for which this host finds no
 * endpoint although its region offers room itself are exceptions, such as retries.
 *
 * <p>Invariant: a region that has refused a request gets none for the time that it named, or else for {@link
 * #REFUSING_REGION_BACKOFF}. Used on the host's event loop only.
 */
final class RemoteRegions {

    /** Latency added by forwarding to another region: a round trip between two distant hosts. */
    static final double ROUND_TRIP_MILLIS = 130;

    /** Cost of forwarding to another region in milliseconds: the round trip, and a margin for the traffic. */
    static final double DISTANCE_MILLIS = ROUND_TRIP_MILLIS + 40;

    /** Time without new requests to a region that has refused one without naming a time; its next reports arrive in it. */
    private static final Duration REFUSING_REGION_BACKOFF = Duration.ofMillis(250);

    /** Retry delay if no other region offers room; a few reports arrive in it. */
    private static final Duration NO_OFFER_RETRY_AFTER = Duration.ofMillis(500);

    /** Maximum number of series for each metric of offers. */
    private static final int MAX_SERIES = 128;

    private final Fleet fleet;
    private final String hostName;
    private final String region;
    private final CandidateFinder candidateFinder;
    private final Predicate<HostHandle> responsive;
    private final RandomGenerator random;
    private final Map<RegionService, HeldOffer> heldOffers = new HashMap<>();
    private final Map<String, OverflowGate> overflowByService = new HashMap<>();
    private final Map<String, HopCounts> hopsByRegion = new HashMap<>();

    /**
     * Creates the view of a host.
     *
     * @param hostName name of this host
     * @param region region of this host
     * @param responsive tests whether the reports of another host arrive on time
     */
    RemoteRegions(
            Fleet fleet,
            String hostName,
            String region,
            CandidateFinder candidateFinder,
            Predicate<HostHandle> responsive,
            RandomGenerator random) {
        this.fleet = fleet;
        this.hostName = hostName;
        this.region = region;
        this.candidateFinder = candidateFinder;
        this.responsive = responsive;
        this.random = random;
    }

    /**
     * Returns the endpoints of other regions that can take {@code call} now.
     *
     * @param local the best placement in this region, if there is one
     * @param tried endpoints and hosts that have already failed the request
     */
    List<PlacementCandidate> candidates(AdmittedCall call, Optional<Placement> local, Set<String> tried, long now) {
        boolean needsOffer = needsOffer(call, local);
        if (needsOffer && local.isPresent() && !overflows(call, local.get())) {
            return List.of();
        }
        long promptTokens =
                call.head().prompt().map(Prompt::size).orElse(PromptSize.NONE).promptTokens();
        return allowedRegions(call)
                .filter(other ->
                        heldOffer(other, call.service(), now).withdrawnFor(now).isZero()
                                && !reachableHosts(other, tried).isEmpty())
                .flatMap(other -> candidateFinder
                        .find(
                                call,
                                other,
                                DISTANCE_MILLIS,
                                endpoint -> endpoint.isUsableElsewhere(now) && !endpoint.isCold(now),
                                now)
                        .stream()
                        .filter(candidate -> !needsOffer
                                || heldOffer(other, call.service(), now)
                                        .covers(Math.max(0, promptTokens - candidate.cachedTokens()), now)))
                .toList();
    }

    private Stream<String> allowedRegions(AdmittedCall call) {
        return fleet.hosts().stream()
                .map(host -> host.entry().region())
                .distinct()
                .filter(other -> !other.equals(region) && call.mayRunIn(other));
    }

    private boolean needsOffer(AdmittedCall call, Optional<Placement> local) {
        return (local.isPresent() || mayDraw(region, call.service()))
                && fleet.offers().byRegion().keySet().stream().anyMatch(other -> !other.equals(region))
                && call.mayRunIn(region)
                && fleet.endpointsOf(call.service()).stream()
                        .anyMatch(endpoint -> fleet.regionOf(endpoint).equals(region) && !endpoint.isDraining());
    }

    /** Returns whether a request may leave this region although {@code local} could take it. */
    private boolean overflows(AdmittedCall call, Placement local) {
        boolean waits = overflowByService
                .computeIfAbsent(call.service(), key -> new OverflowGate())
                .update(local.waitMillis(), call.routeBounds().minLatencyObjective());
        boolean unsuitable = local.costMillis() - local.estimateMillis() > DISTANCE_MILLIS;
        return waits || unsuitable;
    }

    /** Returns this host's part of the latest offer of a region for a service. */
    private HeldOffer heldOffer(String other, String service, long now) {
        HeldOffer held = heldOffers.computeIfAbsent(new RegionService(other, service), key -> new HeldOffer());
        fleet.offers()
                .report(other)
                .filter(report -> report.reportedAt() != held.reportedAt(report.reportedAt() - 1))
                .ifPresent(report -> held.update(ownPart(other, service), report.reportedAt()));
        return held;
    }

    private ServiceOffer ownPart(String other, String service) {
        ServiceOffer offer = fleet.offers().offer(other, service).orElse(ServiceOffer.none(ServiceOffer.Demand.NONE));
        if (!offer.hasRoom() || !mayDraw(region, service)) {
            return ServiceOffer.none(offer.demand());
        }
        List<String> drawing = Stream.concat(
                        Stream.of(hostName),
                        fleet.hosts().stream()
                                .filter(host -> !host.entry().region().equals(other)
                                        && responsive.test(host)
                                        && mayDraw(host.entry().region(), service))
                                .map(host -> host.entry().name()))
                .sorted()
                .toList();
        return offer.part(drawing.indexOf(hostName), drawing.size());
    }

    /** Returns whether the hosts of a region may use offers: it has endpoints of the service, but offers no room itself. */
    private boolean mayDraw(String drawing, String service) {
        return fleet.offers()
                .offer(drawing, service)
                .filter(offer -> !offer.hasRoom())
                .isPresent();
    }

    /** Deducts a request that is sent to {@code host} from the offer of its region. */
    void recordHop(HostHandle host, String service, long newTokens, long now) {
        String other = host.entry().region();
        heldOffer(other, service, now).spend(newTokens, now);
        hops(other).sent++;
    }

    private HopCounts hops(String other) {
        return hopsByRegion.computeIfAbsent(other, key -> new HopCounts());
    }

    /**
     * Returns a random host of another region, or empty if none can be reached.
     *
     * @param tried endpoints and hosts that have already failed the request
     */
    Optional<HostHandle> chooseHost(String other, Set<String> tried) {
        List<HostHandle> hosts = reachableHosts(other, tried);
        return hosts.isEmpty() ? Optional.empty() : Optional.of(hosts.get(random.nextInt(hosts.size())));
    }

    private List<HostHandle> reachableHosts(String other, Set<String> tried) {
        return fleet.hosts().stream()
                .filter(host -> host.entry().region().equals(other)
                        && responsive.test(host)
                        && !tried.contains(host.entry().name()))
                .toList();
    }

    /**
     * Records that a host in another region has refused a request for {@code service}.
     *
     * @param retryAfter time after which the host takes such requests, if it named one
     */
    void recordRefusal(String host, String service, Optional<Duration> retryAfter, long now) {
        fleet.host(host).map(known -> known.entry().region()).ifPresent(other -> {
            heldOffer(other, service, now).withdraw(retryAfter.orElse(REFUSING_REGION_BACKOFF), now);
            hops(other).refused++;
        });
    }

    /** Returns after what time another region may take {@code call}, or empty if it may run in no other region. */
    Optional<Duration> retryAfter(AdmittedCall call, long now) {
        return allowedRegions(call)
                .map(other -> heldOffer(other, call.service(), now).withdrawnFor(now))
                .map(withdrawn -> withdrawn.isZero() ? NO_OFFER_RETRY_AFTER : withdrawn)
                .min(Comparator.naturalOrder());
    }

    /** Registers the metrics of offers and hops. */
    void registerMetrics(CallMetrics metrics) {
        metrics.registerTable(
                "toucanlane.offer.places.made",
                "requests that a region offers to take",
                MAX_SERIES,
                () -> placesByRegionAndService((other, service) -> fleet.offers()
                        .offer(other, service)
                        .map(ServiceOffer::places)
                        .orElse(0)));
        metrics.registerTable(
                "toucanlane.offer.places.held",
                "requests that this host may still send to a region",
                MAX_SERIES,
                () -> {
                    long now = System.nanoTime();
                    return placesByRegionAndService((other, service) -> other.equals(region)
                            ? 0
                            : heldOffer(other, service, now).placesLeft(now));
                });
        metrics.registerTable(
                "toucanlane.hops.sent",
                "requests sent to a region since the start",
                MAX_SERIES,
                () -> hopRows(counts -> counts.sent));
        metrics.registerTable(
                "toucanlane.hops.refused",
                "requests refused by a region, or not accepted by its hosts, since the start",
                MAX_SERIES,
                () -> hopRows(counts -> counts.refused));
    }

    private Map<Tags, Number> placesByRegionAndService(BiFunction<String, String, Integer> places) {
        Map<Tags, Number> rows = new HashMap<>();
        Set<String> services = fleet.endpoints().stream()
                .map(endpoint -> endpoint.entry().service())
                .collect(Collectors.toSet());
        fleet.offers()
                .byRegion()
                .keySet()
                .forEach(other -> services.stream()
                        .filter(service -> fleet.offers().offer(other, service).isPresent())
                        .forEach(service ->
                                rows.put(Tags.of("region", other, "service", service), places.apply(other, service))));
        return rows;
    }

    private Map<Tags, Number> hopRows(ToLongFunction<HopCounts> count) {
        Map<Tags, Number> rows = new HashMap<>();
        hopsByRegion.forEach((other, counts) -> rows.put(Tags.of("region", other), count.applyAsLong(counts)));
        return rows;
    }

    private record RegionService(String region, String service) {}

    /** The requests that this host has sent to a region. */
    private static final class HopCounts {
        private long sent;
        private long refused;
    }
}
