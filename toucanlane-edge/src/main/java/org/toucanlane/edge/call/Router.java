package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.policy.admission.LoadShedder;
import org.toucanlane.policy.placement.ColdStartRateLimit;
import org.toucanlane.policy.placement.EndpointPlacer;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.placement.PlacementCandidate;
import org.toucanlane.policy.placement.PromptSize;

/**
 * Finds the endpoint or the region for a request among what this host believes of the fleet.
 *
 * <p>Invariants: a request goes only where its route and its account allow it, and takes at most one hop. Used on the
 * host's event loop only.
 */
final class Router {

    /** Time that a hop between regions adds: a round trip of two hosts that are far apart. */
    private static final double HOP_MILLIS = 130;

    /** How much faster another region must be to be worth the bytes on the links between regions. */
    private static final double LEAVE_MARGIN_MILLIS = 40;

    /** When to come back if nothing can take the request: an endpoint's return or another's registration. */
    private static final Duration NO_ENDPOINT_RETRY = Duration.ofMillis(500);

    /** When to come back if all endpoints are cold. */
    private static final Duration COLD_RETRY = Duration.ofMillis(400);

    /** Time for which a region that has turned a request away gets no other: until its next reports have come. */
    private static final Duration FULL_TIME = Duration.ofMillis(250);

    private final Fleet fleet;
    private final String self;
    private final String region;
    private final Predicate<HostHandle> heard;
    private final RandomGenerator random;
    private final OverloadSpell overload = new OverloadSpell();
    private final Map<RegionService, Long> fullUntil = new HashMap<>();

    /**
     * Creates a router.
     *
     * @param self name of this host
     * @param region its region
     * @param heard whether a host's reports come as they should
     */
    Router(Fleet fleet, String self, String region, Predicate<HostHandle> heard, RandomGenerator random) {
        this.fleet = fleet;
        this.self = self;
        this.region = region;
        this.heard = heard;
        this.random = random;
    }

    /**
     * Chooses where a request goes.
     *
     * @param tried endpoints and hosts that have failed it
     * @throws CallRefusedException if nothing can take it now
     */
    Destination choose(AdmittedCall call, Set<String> tried) throws CallRefusedException {
        long now = System.nanoTime();
        Optional<Destination.Local> here = call.mayRunIn(region) ? local(call, tried, now) : Optional.empty();
        boolean nearest = here.isPresent() && here.get().estimateMillis() <= HOP_MILLIS + LEAVE_MARGIN_MILLIS;
        Optional<Destination.Remote> away =
                call.fromHost().isPresent() || nearest ? Optional.empty() : remote(call, tried, now);
        if (here.isEmpty() && away.isEmpty()) {
            throw refusal(call, now);
        }
        boolean stay = here.isPresent()
                && (away.isEmpty() || here.get().estimateMillis() <= away.get().estimateMillis() + LEAVE_MARGIN_MILLIS);
        Destination best = stay ? here.get() : away.get();
        refuseIfLate(call, best);
        return best;
    }

    private void refuseIfLate(AdmittedCall call, Destination best) throws CallRefusedException {
        double estimateMillis = best.estimateMillis();
        Optional<Duration> wait = LoadShedder.shed(
                best.waitMillis(),
                estimateMillis - best.waitMillis(),
                call.bounds().minLatencyObjective(),
                call.rank(),
                overload.lasting(call.service(), System.nanoTime()));
        if (wait.isPresent()) {
            overload.refused(call.service(), System.nanoTime());
            throw new CallRefusedException(
                    ErrorKind.OVERLOADED,
                    wait.get(),
                    "the answer would begin after " + Math.round(estimateMillis) + " ms");
        }
    }

    private CallRefusedException refusal(AdmittedCall call, long now) {
        List<EndpointHandle> known = fleet.endpointsOf(call.service());
        boolean allCold =
                known.stream().anyMatch(endpoint -> isHere(endpoint) && endpoint.isUsable(now) && endpoint.isCold(now));
        if (allCold) {
            return new CallRefusedException(ErrorKind.OVERLOADED, COLD_RETRY, "all endpoints have just started");
        }
        List<EndpointHandle> allowed = known.stream()
                .filter(endpoint -> call.mayRunIn(fleet.regionOf(endpoint)))
                .toList();
        String detail = String.format(
                "no endpoint can take the request: of %d of its service, %d are where it may run (%s), %d of them usable",
                known.size(),
                allowed.size(),
                call.regions().isEmpty() ? "anywhere" : String.join(" or ", call.regions()),
                allowed.stream().filter(endpoint -> endpoint.isUsable(now)).count());
        return new CallRefusedException(ErrorKind.NO_ENDPOINT, NO_ENDPOINT_RETRY, detail);
    }

    private boolean isHere(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(region);
    }

    private Optional<Destination.Local> local(AdmittedCall call, Set<String> tried, long now) {
        return place(
                        call,
                        region,
                        now,
                        endpoint ->
                                endpoint.isUsable(now) && !tried.contains(endpoint.id()) && hasColdRoom(endpoint, now))
                .flatMap(placement -> fleet.endpoint(placement.endpoint())
                        .map(endpoint -> new Destination.Local(endpoint, placement)));
    }

    /** Returns the best of the endpoints of a region that {@code wanted} accepts and that aren't evacuated. */
    private Optional<Placement> place(AdmittedCall call, String where, long now, Predicate<EndpointHandle> wanted) {
        Optional<Prompt> prompt = call.head().prompt();
        List<CachedPart> parts = prompt.map(Prompt::parts).orElse(List.of());
        List<PlacementCandidate> candidates = fleet.endpointsOf(call.service()).stream()
                .filter(endpoint -> fleet.regionOf(endpoint).equals(where)
                        && !fleet.isEvacuated(endpoint.entry().dataCentre())
                        && wanted.test(endpoint))
                .map(endpoint -> new PlacementCandidate(endpoint.load(now), endpoint.cachedTokensOf(parts)))
                .toList();
        PromptSize size = prompt.map(Prompt::size).orElse(PromptSize.NONE);
        return EndpointPlacer.place(
                candidates, size, prompt.map(Prompt::affinity).orElse(0L), random);
    }

    private boolean hasColdRoom(EndpointHandle endpoint, long now) {
        return !endpoint.isCold(now)
                || coldRate(endpoint)
                        .map(rate -> endpoint.hasColdRoom(rate, now))
                        .orElse(true);
    }

    /** Returns this host's part of the rate that a cold endpoint bears, or empty if its service has no bound. */
    private Optional<ColdStartRateLimit> coldRate(EndpointHandle endpoint) {
        return fleet.configuration()
                .flatMap(current -> current.service(endpoint.entry().service()))
                .map(ServingService::coldStartRequestsPerSecond)
                .filter(perSecond -> perSecond > 0)
                .map(perSecond -> ColdStartRateLimit.of(
                        self,
                        fleet.hosts().stream()
                                .map(HostHandle::entry)
                                .filter(host -> host.region().equals(region))
                                .map(HostRecord::name)
                                .toList(),
                        endpoint.id(),
                        perSecond));
    }

    /** Notes a request to {@code endpoint} against the rate that it bears while it is cold. */
    void noteSend(EndpointHandle endpoint) {
        long now = System.nanoTime();
        if (endpoint.isCold(now)) {
            coldRate(endpoint).ifPresent(rate -> endpoint.coldSend(rate, now));
        }
    }

    /** Notes that a host of another region has turned away a request for {@code service}. */
    void noteRefusal(String host, String service) {
        fleet.host(host)
                .ifPresent(known -> fullUntil.put(
                        new RegionService(known.entry().region(), service), System.nanoTime() + FULL_TIME.toNanos()));
    }

    private record RegionService(String region, String service) {}

    private Optional<Destination.Remote> remote(AdmittedCall call, Set<String> tried, long now) {
        return fleet.hosts().stream()
                .map(host -> host.entry().region())
                .distinct()
                .filter(other -> !other.equals(region) && call.mayRunIn(other))
                .flatMap(other -> remote(call, other, tried, now).stream())
                .min(Comparator.comparingDouble(Destination.Remote::estimateMillis));
    }

    private Optional<Destination.Remote> remote(AdmittedCall call, String other, Set<String> tried, long now) {
        if (fullUntil.getOrDefault(new RegionService(other, call.service()), now) - now > 0) {
            return Optional.empty();
        }
        List<HostHandle> reachable = fleet.hosts().stream()
                .filter(host -> host.entry().region().equals(other)
                        && heard.test(host)
                        && !tried.contains(host.entry().name()))
                .toList();
        if (reachable.isEmpty()) {
            return Optional.empty();
        }
        HostHandle host = reachable.get(random.nextInt(reachable.size()));
        return place(call, other, now, endpoint -> endpoint.isUsableElsewhere(now) && !endpoint.isCold(now))
                .map(placement ->
                        new Destination.Remote(host, placement.estimateMillis() + HOP_MILLIS, placement.waitMillis()));
    }
}
