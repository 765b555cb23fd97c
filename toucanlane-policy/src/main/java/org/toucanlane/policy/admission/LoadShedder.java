package org.toucanlane.policy.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Rejects a request immediately if its response would start too late even at the best endpoint for it.
 *
 * <p>Load pattern: more requests than the endpoints can serve, for seconds. If all were admitted, each would wait
 * behind the others and nearly all responses would be late. With the backlog bounded by the latency objective, the
 * endpoints stay equally busy and their responses are on time.
 *
 * <p>The more urgent a request, the longer the backlog that it may join, so that less urgent requests leave capacity
 * for it. A request's own processing time counts only up to a fraction of the objective: a large prompt is slow at any
 * endpoint and would otherwise never be admitted. If no other request is ahead, it is always admitted, so that a wrong
 * estimate of an endpoint's speed is corrected by a new measurement.
 *
 * <p>The retry-after delay is the expected remaining duration of the overload, which is assumed to last as long again
 * as it has lasted so far. Stateless and thread-safe.
 */
public final class LoadShedder {

    /** Fraction of the objective that the most urgent requests may use; the rest covers the error of the estimate. */
    private static final double MAX_OBJECTIVE_FRACTION = 0.9;

    /** Amount by which that fraction is lower for each further rank. */
    private static final double FRACTION_PER_RANK = 0.1;

    /** Fraction of the objective that the least urgent requests may use. */
    private static final double MIN_OBJECTIVE_FRACTION = 0.55;

    /** Fraction of the objective up to which a request's own processing time counts. */
    private static final double OWN_TIME_FRACTION = 0.3;

    /** Minimum retry-after delay: the backlog of an endpoint changes within a few decoding steps. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

    /**
     * Maximum retry-after delay: a burst of a few seconds is over by then, and callers still have time before their
     * deadlines.
     */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(2_500);

    private LoadShedder() {}

    /**
     * Decides whether to reject a request.
     *
     * @param waitMillis part of the estimated time to the first response that is caused by other requests
     * @param ownMillis remainder of that time, which the request needs at an idle endpoint
     * @param objective shortest latency objective of the requests for the same endpoints, so that a request with a
     *     longer one does not fill the backlog that the others have to join
     * @param rank urgency rank among the requests for the same endpoints; 0 is the most urgent
     * @param overloadedFor time for which requests have been rejected without interruption
     * @return the delay after which to retry, or empty if the request is admitted
     */
    public static Optional<Duration> shed(
            double waitMillis, double ownMillis, Duration objective, int rank, Duration overloadedFor) {
        double objectiveMillis = objective.toMillis();
        double fraction =
                Math.max(MIN_OBJECTIVE_FRACTION, MAX_OBJECTIVE_FRACTION - FRACTION_PER_RANK * Math.max(0, rank));
        double counted = waitMillis + Math.min(ownMillis, OWN_TIME_FRACTION * objectiveMillis);
        double excess = counted - fraction * objectiveMillis;
        if (excess <= 0) {
            return Optional.empty();
        }
        long expected = Math.max((long) excess, overloadedFor.toMillis());
        Duration retryAfter = Duration.ofMillis(expected).plus(MIN_RETRY_AFTER);
        return Optional.of(retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter);
    }
}
