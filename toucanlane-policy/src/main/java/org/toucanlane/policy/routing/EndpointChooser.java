package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Chooses an endpoint: rendezvous hashing on the start of the prompt with bounded loads (Mirrokni, Thorup and
 * Zadimoghaddam, 2018), else the less loaded of two drawn at random (Mitzenmacher, 2001).
 *
 * <p>The same input and the same random sequence give the same decision. Immutable and thread-safe.
 */
public final class EndpointChooser {

    private final double boundOverMean;

    private EndpointChooser(double boundOverMean) {
        this.boundOverMean = boundOverMean;
    }

    /**
     * Returns a chooser.
     *
     * @param boundOverMean how far above the mean load an endpoint may be and still get requests for the sake of its
     *     cache; at least 1
     */
    public static EndpointChooser withBound(double boundOverMean) {
        Preconditions.checkArgument(boundOverMean >= 1, "boundOverMean must be at least 1: %s", boundOverMean);
        return new EndpointChooser(boundOverMean);
    }

    /**
     * Chooses among {@code candidates}.
     *
     * @param affinity start of the prompt, or empty if it should not matter
     * @param tried endpoints that were tried before for this request
     */
    public EndpointChoice choose(
            List<EndpointView> candidates, String affinity, Set<String> tried, RandomGenerator random) {
        List<EndpointView> usable = candidates.stream()
                .filter(EndpointView::available)
                .filter(view -> !tried.contains(view.name()))
                .sorted(Comparator.comparingDouble(EndpointView::load).thenComparing(EndpointView::name))
                .toList();
        if (usable.isEmpty()) {
            return new EndpointChoice(Optional.empty(), EndpointChoice.Reason.NONE, usable);
        }
        if (usable.size() == 1) {
            return choice(usable.get(0), EndpointChoice.Reason.ONLY_ONE, usable);
        }
        return affine(usable, affinity)
                .map(view -> choice(view, EndpointChoice.Reason.AFFINITY, usable))
                .orElseGet(() -> choice(leastOfTwo(usable, random), EndpointChoice.Reason.LEAST_OF_TWO, usable));
    }

    private static EndpointChoice choice(EndpointView view, EndpointChoice.Reason reason, List<EndpointView> usable) {
        return new EndpointChoice(Optional.of(view.name()), reason, usable);
    }

    private Optional<EndpointView> affine(List<EndpointView> usable, String affinity) {
        if (affinity.isEmpty()) {
            return Optional.empty();
        }
        double running = usable.stream()
                .mapToDouble(view -> view.ownRunning() + view.othersRunning())
                .sum();
        double capacity = usable.stream().mapToDouble(EndpointView::capacity).sum();
        double bound = boundOverMean * (running + 1) / capacity;
        Comparator<EndpointView> byWeight =
                Comparator.comparingLong(view -> RendezvousHash.weight(affinity, view.name()));
        return usable.stream()
                .filter(view -> view.load() < Math.max(bound, 1.0 / view.capacity()))
                .max(byWeight)
                .filter(view -> view.load() < 1);
    }

    private static EndpointView leastOfTwo(List<EndpointView> usable, RandomGenerator random) {
        int first = random.nextInt(usable.size());
        int second = (first + 1 + random.nextInt(usable.size() - 1)) % usable.size();
        return usable.get(Math.min(first, second));
    }
}
