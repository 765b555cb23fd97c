package org.toucanlane.policy.admission;

import java.time.Duration;

/**
 * The longest estimated time to the first response at which a request is admitted.
 *
 * <p>The more urgent a request, the longer the backlog that it may join, so that less urgent requests leave capacity
 * for it. A request's own processing time counts only up to a fraction of the objective: a large prompt is slow at any
 * endpoint and would otherwise never be admitted. Immutable.
 *
 * @param objective shortest latency objective of the requests for the same endpoints, so that a request with a longer
 *     one does not fill the backlog that the others have to join
 * @param rank urgency rank among the requests for the same endpoints; 0 is the most urgent
 */
public record AdmissionLimit(Duration objective, int rank) {

    /** Fraction of the objective that the most urgent requests may use; the rest covers the error of the estimate. */
    private static final double MAX_OBJECTIVE_FRACTION = 0.9;

    /** Amount by which that fraction is lower for each further rank. */
    private static final double FRACTION_PER_RANK = 0.1;

    /** Fraction of the objective that the least urgent requests may use. */
    private static final double MIN_OBJECTIVE_FRACTION = 0.55;

    /** Fraction of the objective up to which a request's own processing time counts. */
    private static final double OWN_TIME_FRACTION = 0.3;

    /** Returns whether a request with this wait and processing time is within the limit. */
    public boolean admits(double waitMillis, double ownMillis) {
        return excessMillis(waitMillis, ownMillis) <= 0;
    }

    /**
     * Returns the time by which a request exceeds the limit; not positive if it is within the limit.
     *
     * @param waitMillis part of the estimated time to the first response that is caused by other requests
     * @param ownMillis remainder of that time, which the request needs at an idle endpoint
     */
    public double excessMillis(double waitMillis, double ownMillis) {
        double objectiveMillis = objective.toMillis();
        double fraction =
                Math.max(MIN_OBJECTIVE_FRACTION, MAX_OBJECTIVE_FRACTION - FRACTION_PER_RANK * Math.max(0, rank));
        double counted = waitMillis + Math.min(ownMillis, OWN_TIME_FRACTION * objectiveMillis);
        return counted - fraction * objectiveMillis;
    }
}
