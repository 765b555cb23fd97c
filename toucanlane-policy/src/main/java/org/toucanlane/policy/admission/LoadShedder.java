package org.toucanlane.policy.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Turns a request away at once if its answer would begin too late at the best place for it.
 *
 * <p>Load pattern: more requests than the endpoints can answer, for seconds. If all were taken, each would wait behind
 * the others and nearly all answers would be late; with the backlog bounded by the objective, the endpoints stay as busy
 * and what they answer is on time. The more urgent a request, the longer the backlog that it may join, so that less
 * urgent ones leave room. What a request itself needs counts only up to a part of the objective: a large prompt is slow
 * wherever it runs, and would else never be taken; where nothing else waits, it is always taken, so a wrong estimate of
 * an endpoint's speed is measured again. A caller is told to come back when the overload is expected to be
 * over: one that has lasted a while is expected to last as long again. Stateless and thread-safe.
 */
public final class LoadShedder {

    /** Part of the objective that the most urgent requests may use; the rest covers the error of the estimate. */
    private static final double MAX_OBJECTIVE_FRACTION = 0.9;

    /** By how much of the objective each further rank may use less. */
    private static final double FRACTION_PER_RANK = 0.1;

    private static final double MIN_OBJECTIVE_FRACTION = 0.55;

    /** Part of the objective up to which a request's own prompt counts. */
    private static final double OWN_TIME_FRACTION = 0.3;

    /** Shortest time to come back: the backlog of an endpoint changes within a few steps. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

    /** Longest time to come back: a burst of seconds is over by then, and callers have time left. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(2_500);

    private LoadShedder() {}

    /**
     * Decides on a request.
     *
     * @param waitMillis part of the time until its answer begins that is due to other requests
     * @param ownMillis the rest of that time, which the request needs wherever it runs
     * @param objective shortest time within which answers of the same endpoints have their full value, so that a
     *     request with a longer one does not fill the backlog that others must join
     * @param rank its rank among the requests for the same endpoints; 0 is the most urgent
     * @param overloadedFor for how long requests have been turned away without a pause
     * @return when it may come back, or empty if it is taken
     */
    public static Optional<Duration> shed(
            double waitMillis, double ownMillis, Duration objective, int rank, Duration overloadedFor) {
        double aim = objective.toMillis();
        double part = Math.max(MIN_OBJECTIVE_FRACTION, MAX_OBJECTIVE_FRACTION - FRACTION_PER_RANK * Math.max(0, rank));
        double counted = waitMillis + Math.min(ownMillis, OWN_TIME_FRACTION * aim);
        double excess = counted - part * aim;
        if (excess <= 0) {
            return Optional.empty();
        }
        long expected = Math.max((long) excess, overloadedFor.toMillis());
        Duration wait = Duration.ofMillis(expected).plus(MIN_RETRY_AFTER);
        return Optional.of(wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait);
    }
}
