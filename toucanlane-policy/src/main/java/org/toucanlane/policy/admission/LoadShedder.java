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
 * <p>{@link AdmissionLimit} bounds the backlog. If no other request is ahead, a request is always admitted, so that a
 * wrong estimate of an endpoint's speed is corrected by a new measurement.
 *
 * <p>The retry-after delay is the expected remaining duration of the overload, which is assumed to last as long again
 * as it has lasted so far. Stateless and thread-safe.
 */
public final class LoadShedder {

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
     * @param limit limit for the request
     * @param overloadedFor time for which requests have been rejected without interruption
     * @return the delay after which to retry, or empty if the request is admitted
     */
    public static Optional<Duration> shed(
            double waitMillis, double ownMillis, AdmissionLimit limit, Duration overloadedFor) {
        double excess = limit.excessMillis(waitMillis, ownMillis);
        if (excess <= 0) {
            return Optional.empty();
        }
        long expected = Math.max((long) excess, overloadedFor.toMillis());
        Duration retryAfter = Duration.ofMillis(expected).plus(MIN_RETRY_AFTER);
        return Optional.of(retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter);
    }
}
