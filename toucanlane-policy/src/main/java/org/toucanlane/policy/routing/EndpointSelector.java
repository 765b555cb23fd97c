package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Selects an endpoint by rendezvous hashing on the prompt prefix with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2018), or else by the power of two random choices (Mitzenmacher, 2001).
 *
 * <p>Deterministic for a given input and random sequence. Takes time linear in the number of candidates, which are the
 * endpoints of one service in one data centre. Immutable and thread-safe.
 */
public final class EndpointSelector {

    private final double balanceFactor;

    private EndpointSelector(double balanceFactor) {
        this.balanceFactor = balanceFactor;
    }

    /**
     * Returns a selector with the given balance factor.
     *
     * @param balanceFactor multiple of the mean load up to which an endpoint is selected by prefix affinity; at least 1
     */
    public static EndpointSelector withBalanceFactor(double balanceFactor) {
        Preconditions.checkArgument(balanceFactor >= 1, "balanceFactor must be at least 1: %s", balanceFactor);
        return new EndpointSelector(balanceFactor);
    }

    /**
     * Selects one of {@code candidates}.
     *
     * @param affinity prompt prefix to hash, or empty to select without affinity
     * @param tried endpoints that this request has already been tried at, to be excluded
     */
    public EndpointSelection select(
            List<EndpointView> candidates, String affinity, Set<String> tried, RandomGenerator random) {
        List<EndpointView> usable = usable(candidates, tried);
        if (usable.isEmpty()) {
            return new EndpointSelection(Optional.empty(), EndpointSelection.Reason.NONE_AVAILABLE);
        }
        if (usable.size() == 1) {
            return selection(usable.get(0), EndpointSelection.Reason.ONLY_CANDIDATE);
        }
        EndpointView preferred = affinity.isEmpty() ? null : selectByAffinity(usable, affinity);
        return preferred != null
                ? selection(preferred, EndpointSelection.Reason.AFFINITY)
                : selection(leastLoadedOfTwo(usable, random), EndpointSelection.Reason.LEAST_LOADED_OF_TWO);
    }

    private static List<EndpointView> usable(List<EndpointView> candidates, Set<String> tried) {
        List<EndpointView> usable = new ArrayList<>(candidates.size());
        for (EndpointView view : candidates) {
            if (view.available() && (tried.isEmpty() || !tried.contains(view.name()))) {
                usable.add(view);
            }
        }
        return usable;
    }

    private static EndpointSelection selection(EndpointView view, EndpointSelection.Reason reason) {
        return new EndpointSelection(Optional.of(view.name()), reason);
    }

    /** Returns the endpoint with the highest rendezvous weight below the load bound, or null if all exceed it. */
    private EndpointView selectByAffinity(List<EndpointView> usable, String affinity) {
        double maxLoad = maxAffinityLoad(usable);
        long keyHash = RendezvousHash.hash(affinity);
        EndpointView best = null;
        long bestWeight = 0;
        for (EndpointView view : usable) {
            long weight = RendezvousHash.weight(keyHash, view.nameHash());
            boolean belowBound = view.load() < Math.max(maxLoad, 1.0 / view.capacity()) && view.load() < 1;
            if (belowBound && (best == null || weight > bestWeight)) {
                best = view;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns the load below which an endpoint may be selected by affinity, counting the request being placed. */
    private double maxAffinityLoad(List<EndpointView> usable) {
        double running = 1;
        double capacity = 0;
        for (EndpointView view : usable) {
            running += view.ownRunning() + view.othersRunning();
            capacity += view.capacity();
        }
        return balanceFactor * running / capacity;
    }

    private static EndpointView leastLoadedOfTwo(List<EndpointView> usable, RandomGenerator random) {
        int first = random.nextInt(usable.size());
        int second = (first + 1 + random.nextInt(usable.size() - 1)) % usable.size();
        EndpointView one = usable.get(first);
        EndpointView two = usable.get(second);
        return one.load() <= two.load() ? one : two;
    }
}
