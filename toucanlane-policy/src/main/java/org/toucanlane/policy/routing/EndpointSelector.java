package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Chooses an endpoint: rendezvous hashing on the start of the prompt with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2018), else the less loaded of two drawn at random (Mitzenmacher, 2001).
 *
 * <p>The same input and the same random sequence give the same decision. Takes time linear in the candidates, which are
 * those of one service in one data centre. Immutable and thread-safe.
 */
public final class EndpointSelector {

    private final double balanceFactor;

    private EndpointSelector(double boundOverMean) {
        this.balanceFactor = boundOverMean;
    }

    /**
     * Returns a chooser.
     *
     * @param boundOverMean how far above the mean load an endpoint may be and still get requests for the sake of its
     *     cache; at least 1
     */
    public static EndpointSelector withBalanceFactor(double boundOverMean) {
        Preconditions.checkArgument(boundOverMean >= 1, "boundOverMean must be at least 1: %s", boundOverMean);
        return new EndpointSelector(boundOverMean);
    }

    /**
     * Chooses among {@code candidates}.
     *
     * @param affinity start of the prompt, or empty if it should not matter
     * @param tried endpoints that were tried before for this request
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
        EndpointView affine = affinity.isEmpty() ? null : selectByAffinity(usable, affinity);
        return affine != null
                ? selection(affine, EndpointSelection.Reason.AFFINITY)
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

    /** Returns the endpoint within the bound that weighs most for {@code affinity}, or null if none has room. */
    private EndpointView selectByAffinity(List<EndpointView> usable, String affinity) {
        double bound = maxAffinityLoad(usable);
        long keyHash = RendezvousHash.hash(affinity);
        EndpointView best = null;
        long bestWeight = 0;
        for (EndpointView view : usable) {
            long weight = RendezvousHash.weight(keyHash, view.nameHash());
            boolean hasRoom = view.load() < Math.max(bound, 1.0 / view.capacity()) && view.load() < 1;
            if (hasRoom && (best == null || weight > bestWeight)) {
                best = view;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns the load up to which an endpoint may be chosen for its cache. */
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
