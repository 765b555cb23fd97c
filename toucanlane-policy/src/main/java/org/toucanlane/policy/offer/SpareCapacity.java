package org.toucanlane.policy.offer;

import java.time.Duration;
import java.util.List;
import java.util.function.LongPredicate;
import org.toucanlane.policy.placement.EndpointLoad;
import org.toucanlane.policy.placement.LatencyEstimator;

/**
 * Calculates what a region can offer to others.
 *
 * <p>Load pattern: one region at several times its mean demand while another is nearly idle, and both change within
 * seconds. The offer is the work that can be added before a request of the region's own callers would wait longer than
 * {@link #MAX_WAIT_FRACTION} of the objective, and the work that is done while requests stay deducted from the offer, less
 * what these callers bring in that time. Stateless and thread-safe.
 */
public final class SpareCapacity {

    /**
     * Fraction of the latency objective up to which requests of other regions may lengthen the wait; below what
     * {@code AdmissionLimit} grants the least urgent request, so that a request within an offer is admitted.
     */
    static final double MAX_WAIT_FRACTION = 0.4;

    /** Bound for the places of an offer, as a multiple of the slots of the endpoints. */
    private static final int MAX_PLACES_PER_SLOT = 4;

    /** Bound for the prompt tokens that an offer takes from one endpoint. */
    private static final long MAX_TOKENS_PER_ENDPOINT = 1 << 20;

    private SpareCapacity() {}

    /**
     * Returns the offer of a region for a service.
     *
     * @param endpoints endpoints that can take any request now: neither cold, draining, evacuated, limited nor unusable
     * @param demand demand of the region's own callers
     * @param objective shortest latency objective of the service
     * @param turn number of the report
     */
    public static ServiceOffer offer(
            List<EndpointLoad> endpoints, ServiceOffer.Demand demand, Duration objective, int turn) {
        double horizonMillis = objective.toMillis() * MAX_WAIT_FRACTION + HeldOffer.SETTLE_TIME.toMillis();
        double places = endpoints.stream()
                        .mapToDouble(load -> reliability(load) * places(load, horizonMillis))
                        .sum()
                - demand.requestsPerSecond() * horizonMillis / 1_000;
        if (places < 1) {
            return new ServiceOffer(demand, 0, 0, turn);
        }
        double tokens = endpoints.stream()
                        .mapToDouble(load -> reliability(load) * tokens(load, horizonMillis))
                        .sum()
                - demand.tokensPerSecond() * horizonMillis / 1_000;
        boolean hasEngines = endpoints.stream().anyMatch(EndpointLoad::isEngine);
        return hasEngines && tokens < 1
                ? new ServiceOffer(demand, 0, 0, turn)
                : new ServiceOffer(demand, (int) places, Math.max(0, (long) tokens), turn);
    }

    private static double reliability(EndpointLoad load) {
        return 1 - load.failureRate();
    }

    private static long places(EndpointLoad load, double maxWaitMillis) {
        return largest(
                (long) load.slots() * MAX_PLACES_PER_SLOT,
                count -> waitMillis(load, (int) count - 1, 0) <= maxWaitMillis);
    }

    private static long tokens(EndpointLoad load, double maxWaitMillis) {
        return load.isEngine()
                ? largest(MAX_TOKENS_PER_ENDPOINT, count -> waitMillis(load, 0, count) <= maxWaitMillis)
                : 0;
    }

    /** Returns how long a request without a prompt waits if requests and tokens are added to the load. */
    private static double waitMillis(EndpointLoad load, int requests, long tokens) {
        EndpointLoad loaded = load.plus(requests, tokens);
        return LatencyEstimator.estimateMillis(loaded, 0, 0) - LatencyEstimator.unloadedMillis(loaded, 0);
    }

    /** Returns the largest number up to {@code max} that fits, or 0 if none does; a number fits if a larger one does. */
    private static long largest(long max, LongPredicate fits) {
        long low = 0;
        long high = max;
        while (low < high) {
            long middle = (low + high + 1) / 2;
            if (fits.test(middle)) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return low;
    }
}
