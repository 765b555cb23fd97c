package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.policy.admission.AdmissionLimit;
import org.toucanlane.policy.admission.LoadShedder;
import org.toucanlane.policy.placement.EndpointPlacer;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.placement.PlacementCandidate;
import org.toucanlane.policy.placement.PromptSize;
import org.toucanlane.policy.queue.PlaceEstimate;

/**
 * Selects the endpoint or the region for a request, based on this host's view of the fleet.
 *
 * <p>Invariants: a request is sent only where its route and its account allow it, and is forwarded at most once. Used
 * on the host's event loop only.
 */
final class Router {

    /** Retry delay if no endpoint is available; time for one to recover or for another to register. */
    private static final Duration NO_ENDPOINT_RETRY_AFTER = Duration.ofMillis(500);

    /** Retry delay if all endpoints are cold. */
    private static final Duration COLD_RETRY_AFTER = Duration.ofMillis(400);

    private final Fleet fleet;
    private final String region;
    private final RandomGenerator random;
    private final OverloadTracker overloadTracker = new OverloadTracker();
    private final CandidateFinder candidateFinder;
    private final EndpointRates rates;
    private final RemoteRegions remoteRegions;

    /**
     * Creates a router.
     *
     * @param hostName name of this host
     * @param region region of this host
     * @param responsive tests whether the reports of another host arrive on time
     */
    Router(Fleet fleet, String hostName, String region, Predicate<HostHandle> responsive, RandomGenerator random) {
        this.fleet = fleet;
        this.region = region;
        this.random = random;
        this.candidateFinder = new CandidateFinder(fleet);
        this.rates = new EndpointRates(fleet, hostName, region);
        this.remoteRegions = new RemoteRegions(fleet, region, candidateFinder, responsive, random);
    }

    /**
     * Chooses the destination of a request.
     *
     * @param tried endpoints and hosts that have already failed the request
     * @throws EndpointsBusyException if the wait at the best destination is too long now; the request may wait
     * @throws CallRefusedException if no destination can take the request now for another reason
     */
    Destination choose(AdmittedCall call, Set<String> tried) throws CallRefusedException {
        return choose(call, tried, true);
    }

    /**
     * Chooses the destination of a request that has been waiting for one. If there is none yet, that isn't counted as a
     * refusal.
     *
     * @throws CallRefusedException as {@link #choose(AdmittedCall, Set)}
     */
    Destination chooseAgain(AdmittedCall call, Set<String> tried) throws CallRefusedException {
        return choose(call, tried, false);
    }

    private Destination choose(AdmittedCall call, Set<String> tried, boolean countsRefusal)
            throws CallRefusedException {
        long now = System.nanoTime();
        Optional<Destination> destination = findBest(call, tried, now);
        if (destination.isEmpty()) {
            throw noDestination(call, now);
        }
        refuseIfOverloaded(call, destination.get(), countsRefusal);
        if (call.forwardedBy().isEmpty() && tried.isEmpty()) {
            candidateFinder.recordDemand(call, destination.get().placement(), now);
        }
        return destination.get();
    }

    /**
     * Returns whether a destination other than {@code tried} can take the request now.
     *
     * @param tried endpoints and hosts to which the request has been sent
     */
    boolean hasDestination(AdmittedCall call, Set<String> tried) {
        return findBest(call, tried, System.nanoTime())
                .filter(best -> overloadWait(call, best).isEmpty())
                .isPresent();
    }

    private Optional<Destination> findBest(AdmittedCall call, Set<String> tried, long now) {
        List<PlacementCandidate> candidates = new ArrayList<>(localCandidates(call, tried, now));
        Optional<Placement> choice = place(call, candidates);
        boolean fastEnough = choice.isPresent() && choice.get().costMillis() <= RemoteRegions.DISTANCE_MILLIS;
        if (call.forwardedBy().isEmpty() && !fastEnough) {
            candidates.addAll(remoteRegions.candidates(call, tried, now));
            choice = place(call, candidates);
        }
        return choice.flatMap(placement -> destination(placement, tried));
    }

    private Optional<Placement> place(AdmittedCall call, List<PlacementCandidate> candidates) {
        Optional<Prompt> prompt = call.head().prompt();
        return EndpointPlacer.place(
                candidates,
                prompt.map(Prompt::size).orElse(PromptSize.NONE),
                limitFor(call),
                prompt.map(Prompt::prefixHash).orElse(0L),
                random);
    }

    private Optional<Destination> destination(Placement placement, Set<String> tried) {
        return fleet.endpoint(placement.endpoint()).flatMap(endpoint -> {
            if (isLocal(endpoint)) {
                return Optional.of(new Destination.Local(endpoint, placement));
            }
            return remoteRegions
                    .chooseHost(fleet.regionOf(endpoint), tried)
                    .map(host -> new Destination.Remote(host, placement, RemoteRegions.ROUND_TRIP_MILLIS));
        });
    }

    private void refuseIfOverloaded(AdmittedCall call, Destination best, boolean countsRefusal)
            throws CallRefusedException {
        Optional<Duration> wait = overloadWait(call, best);
        if (wait.isPresent()) {
            if (countsRefusal) {
                overloadTracker.recordRefusal(call.service(), System.nanoTime());
            }
            double untilPlace =
                    limitFor(call).excessMillis(best.waitMillis(), best.estimateMillis() - best.waitMillis());
            throw new EndpointsBusyException(
                    new PlaceEstimate(
                            Duration.ofMillis((long) untilPlace),
                            Duration.ofMillis((long) Math.max(0, best.estimateMillis() - untilPlace)),
                            wait.get()),
                    "estimated time to the first response is " + Math.round(best.estimateMillis()) + " ms");
        }
    }

    /** Returns after what time the request may come back if {@code best} is too busy for it, or empty if it isn't. */
    private Optional<Duration> overloadWait(AdmittedCall call, Destination best) {
        return LoadShedder.shed(
                best.waitMillis(),
                best.estimateMillis() - best.waitMillis(),
                limitFor(call),
                overloadTracker.overloadDuration(call.service(), System.nanoTime()));
    }

    /** Returns for how long this host has been refusing requests for {@code service}, or zero if it isn't. */
    Duration overloadDuration(String service, long now) {
        return overloadTracker.overloadDuration(service, now);
    }

    private static AdmissionLimit limitFor(AdmittedCall call) {
        return new AdmissionLimit(call.routeBounds().minLatencyObjective(), call.rank());
    }

    private CallRefusedException noDestination(AdmittedCall call, long now) {
        List<EndpointHandle> known = fleet.endpointsOf(call.service());
        Optional<Duration> delay = shortestRequestedDelay(call, known, now);
        if (delay.isPresent()) {
            return new CallRefusedException(
                    ErrorKind.OVERLOADED,
                    delay.get(),
                    "all endpoints of service " + call.service()
                            + " in this region have asked for a pause or for fewer requests");
        }
        boolean anyCold = known.stream()
                .anyMatch(endpoint -> isLocal(endpoint) && endpoint.isUsable(now) && endpoint.isCold(now));
        if (anyCold) {
            return new CallRefusedException(
                    ErrorKind.OVERLOADED, COLD_RETRY_AFTER, "remaining endpoints in this region are still warming up");
        }
        List<EndpointHandle> allowed = known.stream()
                .filter(endpoint -> call.mayRunIn(fleet.regionOf(endpoint)))
                .toList();
        long usable =
                allowed.stream().filter(endpoint -> endpoint.isUsable(now)).count();
        String detail = String.format(
                "no endpoint takes the request now: the service has %d, %d of them in allowed regions (%s), %d of those usable",
                known.size(),
                allowed.size(),
                call.regions().isEmpty() ? "any region" : String.join(", ", call.regions()),
                usable);
        return new CallRefusedException(
                usable == 0 ? ErrorKind.NO_ENDPOINT : ErrorKind.OVERLOADED, NO_ENDPOINT_RETRY_AFTER, detail);
    }

    /**
     * Returns the shortest time for which an endpoint of this region wants no request from this host, if each one that
     * doesn't leave has asked for a pause or named a limit.
     */
    private Optional<Duration> shortestRequestedDelay(AdmittedCall call, List<EndpointHandle> known, long now) {
        List<EndpointHandle> staying = known.stream()
                .filter(endpoint -> isLocal(endpoint)
                        && call.mayRunIn(region)
                        && !endpoint.isDraining()
                        && !fleet.isEvacuated(endpoint.entry().dataCentre()))
                .toList();
        return staying.stream()
                .map(endpoint -> requestedDelay(endpoint, now))
                .min(Comparator.naturalOrder())
                .filter(delay -> !delay.isZero());
    }

    private Duration requestedDelay(EndpointHandle endpoint, long now) {
        Duration pause = endpoint.remainingPause(now);
        Duration limitDelay = rates.limitDelay(endpoint, now);
        return pause.compareTo(limitDelay) >= 0 ? pause : limitDelay;
    }

    private boolean isLocal(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(region);
    }

    private List<PlacementCandidate> localCandidates(AdmittedCall call, Set<String> tried, long now) {
        return call.mayRunIn(region)
                ? candidateFinder.find(
                        call,
                        region,
                        0,
                        endpoint ->
                                endpoint.isUsable(now) && !tried.contains(endpoint.id()) && rates.allow(endpoint, now),
                        now)
                : List.of();
    }

    /** Counts a request against the limits on the rate of requests to {@code endpoint}. */
    void recordSend(EndpointHandle endpoint) {
        rates.recordSend(endpoint, System.nanoTime());
    }

    /** Returns the endpoint with this name, or empty if {@code name} is unknown or the name of a host. */
    Optional<EndpointHandle> endpoint(String name) {
        return fleet.endpoint(name);
    }

    /** Records that a host in another region has refused a request for {@code service}. */
    void recordRefusal(String host, String service) {
        remoteRegions.recordRefusal(host, service, System.nanoTime());
    }

    /**
     * Records a stream of {@code endpoint} that has ended.
     *
     * @param pauseToTarget its longest pause, divided by the longest pause at which it is on time
     */
    void recordPause(EndpointHandle endpoint, double pauseToTarget) {
        candidateFinder.recordPause(endpoint, pauseToTarget);
    }

    /** A way to choose the destination of a request. */
    interface Choice {

        /** Chooses as {@link Router#choose} does. */
        Destination choose(AdmittedCall call, Set<String> tried) throws CallRefusedException;
    }
}
