package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Ranks the data centres in which a request may run by their expected cost.
 *
 * <p>The local data centre is preferred until its queueing cost exceeds the cost of a remote one by a margin.
 * Deterministic, immutable and thread-safe.
 */
public final class DataCentreRanker {

    private final RoutingWeights weights;

    private DataCentreRanker(RoutingWeights weights) {
        this.weights = Preconditions.checkNotNull(weights, "weights");
    }

    /** Returns a ranker with the given weights. */
    public static DataCentreRanker of(RoutingWeights weights) {
        return new DataCentreRanker(weights);
    }

    /**
     * Returns the usable data centres with their costs, in ascending order of cost.
     *
     * @param tried data centres that this request has already been tried in, to be excluded
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
        double waitingMillis = overload * weights.millisPerOverload();
        double awayMillis = view.local() ? 0 : view.roundTripMillis() + weights.awayMarginMillis();
        return new Candidate(view, waitingMillis, awayMillis);
    }

    /**
     * A data centre with the expected cost of running the request there.
     *
     * @param view the view on which the cost is based
     * @param waitingMillis expected wait for an endpoint, in milliseconds
     * @param awayMillis cost of leaving the local data centre, in milliseconds; 0 for the local one
     */
    public record Candidate(DataCentreView view, double waitingMillis, double awayMillis) {

        /** Returns the total cost, in milliseconds. */
        public double costMillis() {
            return waitingMillis + awayMillis;
        }
    }
}
