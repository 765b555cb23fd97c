package org.toucanlane.edge.fleet;

import java.time.Duration;
import java.util.OptionalDouble;
import org.toucanlane.policy.placement.EndpointRateLimiter;
import org.toucanlane.policy.placement.EndpointRateShare;

/**
 * The limit on the rate of requests that an endpoint names in its responses, and this host's use of it.
 *
 * <p>Invariant: only a response to a request that was sent after the last response with a limit lifts the limit. Not
 * thread-safe: confined to the host's event loop.
 */
public final class RequestLimit {

    /** Lowest rate of requests to an endpoint with a limit; without any, the host would not learn that it was lifted. */
    private static final double MIN_REQUESTS_PER_SECOND = 0.25;

    private OptionalDouble named = OptionalDouble.empty();
    private long confirmedAt = System.nanoTime();
    private EndpointRateLimiter limiter = new EndpointRateLimiter(confirmedAt);

    RequestLimit() {}

    /**
     * Applies what a response says. Responses on different connections may overtake each other.
     *
     * @param requestsPerSecond rate that the endpoint takes from all hosts together, or empty if it doesn't limit them
     * @param sentAt monotonic time at which the request was sent
     */
    public void update(OptionalDouble requestsPerSecond, long sentAt, long now) {
        if (requestsPerSecond.isPresent()) {
            if (named.isEmpty()) {
                limiter = new EndpointRateLimiter(now);
            }
            named = requestsPerSecond;
            confirmedAt = now;
        } else if (sentAt - confirmedAt > 0) {
            named = OptionalDouble.empty();
        }
    }

    /** Returns the requests per second that the endpoint takes from all hosts together, or empty if it has no limit. */
    public OptionalDouble named() {
        return named;
    }

    /** Returns the rate at which all hosts together may send requests, or empty if it isn't limited. */
    public OptionalDouble allowedRate() {
        return named.isPresent() ? OptionalDouble.of(Math.max(MIN_REQUESTS_PER_SECOND, named.getAsDouble())) : named;
    }

    /**
     * Returns the time until this host may send a request; zero if it may now.
     *
     * @param share this host's share of {@link #allowedRate}
     * @param timeOfDay time since an epoch that is the same for all hosts
     */
    public Duration delay(EndpointRateShare share, long now, Duration timeOfDay) {
        return limiter.delay(share, now, timeOfDay);
    }

    /** Records a request that is sent while the rate is limited; the parameters are those of {@link #delay}. */
    public void recordRequest(EndpointRateShare share, long now, Duration timeOfDay) {
        limiter.recordRequest(share, now, timeOfDay);
    }
}
