package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Orders the data centres in which a request may run.
 *
 * <p>The own one comes first until it is so full that waiting there costs more than going elsewhere by a margin. The
 * same input gives the same decision. Immutable and thread-safe.
 */
public final class DataCentreRanker {

    private final RoutingWeights weights;

    private DataCentreRanker(RoutingWeights weights) {
        this.weights = Preconditions.checkNotNull(weights, "weights");
    }

    /** Returns a chooser with the given weights. */
    public static DataCentreRanker of(RoutingWeights weights) {
        return new DataCentreRanker(weights);
    }

    /**
     * Returns the usable data centres, best first, with their costs.
     *
     * @param tried data centres that were tried before for this request
     */
    public List<Candidate> rank(List<DataCentreView> views, Set<String> tried) {
        return views.stream()
                .filter(DataCentreView::isUsable)
                .filter(view -> !tried.contains(view.name()))
                .map(this::cost)
                .sorted(Comparator.comparingDouble(Candidate::costMillis)
                        .thenComparing(candidate -> candidate.view().name()))
                .toList();
    }

    private Candidate cost(DataCentreView view) {
        double overload = Math.max(0, view.load() - weights.comfortableLoad());
        double waiting = overload * weights.millisPerOverload();
        double away = view.local() ? 0 : view.roundTripMillis() + weights.awayMarginMillis();
        return new Candidate(view, waiting, away);
    }

    /**
     * A data centre and what running there is believed to cost.
     *
     * @param view what was known of it
     * @param waitingMillis expected wait for an endpoint, in milliseconds
     * @param awayMillis cost of leaving the own data centre, in milliseconds
     */
    public record Candidate(DataCentreView view, double waitingMillis, double awayMillis) {

        /** Returns the sum of the costs, in milliseconds. */
        public double costMillis() {
            return waitingMillis + awayMillis;
        }
    }
}
