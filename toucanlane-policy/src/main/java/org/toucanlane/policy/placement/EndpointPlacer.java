package org.toucanlane.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.policy.admission.AdmissionLimit;

/**
 * Places a request at the endpoint with the lowest expected time to first response.
 *
 * <p>Load pattern: many requests that share long prompt prefixes, at a rate at which prefilling every prefix again
 * would exceed the capacity of the engines. An endpoint that has cached the prefix has less to prefill, so requests
 * stay with it until its backlog costs more than prefilling the prefix elsewhere. If the prefix is not known to be
 * cached anywhere, endpoints with similar estimates are ranked by rendezvous hash, so that all hosts make the same
 * choice without coordination.
 *
 * <p>Deterministic for a given input and random sequence. Immutable and thread-safe.
 */
public final class EndpointPlacer {

    /** Fraction of the shared prefix's prefill time by which a ranked endpoint may be slower than the fastest. */
    private static final double AFFINITY_TOLERANCE = 0.5;

    /** Milliseconds within which two endpoints count as equally fast; below the error of the estimate. */
    private static final double TIE_TOLERANCE_MILLIS = 4;

    /** Milliseconds that a failed request costs its caller: a retry after a short backoff. */
    private static final double FAILURE_PENALTY_MILLIS = 1_000;

    /** Milliseconds of latency that are worth a millisecond of prefill, which delays other requests. */
    private static final double WORK_WEIGHT = 0.5;

    /** Milliseconds of latency that are accepted to keep long prompts and other streams apart. */
    private static final double MISPLACEMENT_PENALTY_MILLIS = 150;

    /** Milliseconds added for an endpoint that would reject the request, which ranks it after all that would not. */
    private static final double REJECTION_PENALTY_MILLIS = 2_000;

    private EndpointPlacer() {}

    /**
     * Returns the placement at one of {@code candidates}, or empty if there are none.
     *
     * @param limit limit above which the request would be rejected at an endpoint
     * @param affinity hash of the shared prompt prefix, or 0 if there is none
     */
    public static Optional<Placement> place(
            List<PlacementCandidate> candidates,
            PromptSize size,
            AdmissionLimit limit,
            long affinity,
            RandomGenerator random) {
        List<Scored> scored = candidates.stream()
                .map(candidate -> score(candidate, size, limit))
                .toList();
        double best = scored.stream().mapToDouble(Scored::cost).min().orElse(0);
        double tolerance = TIE_TOLERANCE_MILLIS + (affinity == 0 ? 0 : affinityMillis(candidates, size));
        List<Scored> close = scored.stream()
                .filter(entry -> entry.cost() <= best + tolerance)
                .toList();
        if (close.isEmpty()) {
            return Optional.empty();
        }
        if (affinity == 0) {
            return Optional.of(close.get(random.nextInt(close.size())).placement());
        }
        Scored chosen = close.stream()
                .filter(entry -> entry.cachedTokens() * 2 > size.sharedPrefixTokens())
                .min(Comparator.comparingDouble(Scored::cost))
                .orElseGet(() -> highestRanked(close, affinity));
        return Optional.of(chosen.placement());
    }

    private static double affinityMillis(List<PlacementCandidate> candidates, PromptSize size) {
        return candidates.stream()
                .findFirst()
                .map(candidate -> candidate.load().profile().prefillMillis(size.sharedPrefixTokens()))
                .map(millis -> AFFINITY_TOLERANCE * millis)
                .orElse(0.0);
    }

    private static Scored highestRanked(List<Scored> close, long affinity) {
        return close.stream()
                .max(Comparator.comparingLong(
                        entry -> RendezvousHash.weight(affinity, entry.load().endpointHash())))
                .orElseThrow();
    }

    private static Scored score(PlacementCandidate candidate, PromptSize size, AdmissionLimit limit) {
        long newTokens = Math.max(0, size.promptTokens() - candidate.cachedTokens());
        EndpointLoad load = candidate.load();
        double estimate = LatencyEstimator.estimateMillis(load, newTokens, newTokens + size.maxOutputTokens());
        double wait = Math.max(0, estimate - LatencyEstimator.unloadedMillis(load, newTokens));
        double cost = estimate
                + candidate.distanceMillis()
                + load.profile().prefillMillis(newTokens) * WORK_WEIGHT
                + load.failureRate() * FAILURE_PENALTY_MILLIS
                + candidate.misplacement() * misplacementMillis(load, size, newTokens)
                + (limit.admits(wait, estimate - wait + candidate.distanceMillis()) ? 0 : REJECTION_PENALTY_MILLIS);
        return new Scored(
                load, new Placement(load.endpoint(), estimate, wait, cost, newTokens), candidate.cachedTokens(), cost);
    }

    /** Returns the penalty for a request on the wrong side of the division; a long prefill holds up running streams. */
    private static double misplacementMillis(EndpointLoad load, PromptSize size, long newTokens) {
        return MISPLACEMENT_PENALTY_MILLIS
                + (LongPromptPool.isLong(size) ? load.profile().prefillMillis(newTokens) : 0);
    }

    private record Scored(EndpointLoad load, Placement placement, long cachedTokens, double cost) {}
}
