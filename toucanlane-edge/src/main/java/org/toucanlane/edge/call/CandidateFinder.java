package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.policy.placement.LongPromptPool;
import org.toucanlane.policy.placement.Placement;
import org.toucanlane.policy.placement.PlacementCandidate;
import org.toucanlane.policy.placement.PromptDemand;
import org.toucanlane.policy.placement.PromptSize;
import org.toucanlane.policy.placement.StreamPauses;

/**
 * Finds the endpoints of a region at which a request may be placed, and keeps the division of the endpoints between long
 * prompts and other requests.
 *
 * <p>Invariant: endpoints that drain or whose data centre is evacuated are never candidates. Used on the host's event
 * loop only.
 */
final class CandidateFinder {

    /** Time for which a division of the endpoints is kept. */
    private static final Duration DIVISION_INTERVAL = Duration.ofMillis(200);

    private final Fleet fleet;
    private final Map<String, PromptDemand> demandByService = new HashMap<>();
    private final Map<String, StreamPauses> pausesByService = new HashMap<>();
    private final Map<ServiceInRegion, Division> divisions = new HashMap<>();

    CandidateFinder(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Returns the candidates in a region.
     *
     * @param distanceMillis cost of reaching the region
     * @param eligible tests whether an endpoint can take the request now
     */
    List<PlacementCandidate> find(
            AdmittedCall call, String region, double distanceMillis, Predicate<EndpointHandle> eligible, long now) {
        List<PromptSegment> parts = call.head().prompt().map(Prompt::parts).orElse(List.of());
        boolean isLong = call.head()
                .prompt()
                .filter(prompt -> LongPromptPool.isLong(prompt.size()))
                .isPresent();
        List<EndpointHandle> staying = fleet.endpointsOf(call.service()).stream()
                .filter(endpoint -> fleet.regionOf(endpoint).equals(region)
                        && !fleet.isEvacuated(endpoint.entry().dataCentre())
                        && !endpoint.isDraining())
                .toList();
        Set<Long> forLongPrompts = enginesForLongPrompts(new ServiceInRegion(call.service(), region), staying, now);
        double severity = pauses(call.service()).severity();
        return staying.stream()
                .filter(eligible)
                .map(endpoint -> new PlacementCandidate(
                        endpoint.load(now),
                        endpoint.cachedTokensOf(parts),
                        forLongPrompts.isEmpty() || isLong == forLongPrompts.contains(endpoint.idHash()) ? 0 : severity,
                        distanceMillis))
                .toList();
    }

    /** Returns the hashes of those of {@code staying} that are preferred for long prompts. */
    private Set<Long> enginesForLongPrompts(ServiceInRegion key, List<EndpointHandle> staying, long now) {
        Division division = divisions.get(key);
        if (division == null || now - division.decidedAt() > DIVISION_INTERVAL.toNanos()) {
            Set<Long> members = demand(key.service())
                    .pool(key.region(), enginesByRegion(key.service()), now)
                    .members(staying.stream().map(EndpointHandle::idHash).toList());
            division = new Division(members, now);
            divisions.put(key, division);
        }
        return division.forLongPrompts();
    }

    private Map<String, Integer> enginesByRegion(String service) {
        Map<String, Integer> engines = new HashMap<>();
        fleet.endpointsOf(service).stream()
                .filter(endpoint -> !endpoint.isDraining())
                .forEach(endpoint -> engines.merge(fleet.regionOf(endpoint), 1, Integer::sum));
        return engines;
    }

    private PromptDemand demand(String service) {
        return demandByService.computeIfAbsent(service, key -> new PromptDemand());
    }

    /** Records the work of a caller's request that is sent to the endpoint of {@code placement}. */
    void recordDemand(AdmittedCall call, Placement placement, long now) {
        PromptSize size = call.head().prompt().map(Prompt::size).orElse(PromptSize.NONE);
        fleet.endpoint(placement.endpoint())
                .ifPresent(endpoint -> demand(call.service())
                        .record(
                                size,
                                placement.newTokens(),
                                endpoint.speed().profile(),
                                endpoint.entry().slots(),
                                call.regions(),
                                now));
    }

    private StreamPauses pauses(String service) {
        return pausesByService.computeIfAbsent(service, key -> new StreamPauses());
    }

    /**
     * Records a stream of {@code endpoint} that has ended, if the endpoint serves long prompts.
     *
     * @param pauseToTarget its longest pause, divided by the longest pause at which it is on time
     */
    void recordPause(EndpointHandle endpoint, double pauseToTarget) {
        String service = endpoint.entry().service();
        Division division = divisions.get(new ServiceInRegion(service, fleet.regionOf(endpoint)));
        boolean servesLongPrompts = division == null
                || division.forLongPrompts().isEmpty()
                || division.forLongPrompts().contains(endpoint.idHash());
        if (servesLongPrompts) {
            pauses(service).record(pauseToTarget);
        }
    }

    private record ServiceInRegion(String service, String region) {}

    /** The endpoints of a region that are preferred for long prompts, and the monotonic time of the decision. */
    private record Division(Set<Long> forLongPrompts, long decidedAt) {}
}
