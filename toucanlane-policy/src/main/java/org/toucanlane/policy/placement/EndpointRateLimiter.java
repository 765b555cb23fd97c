package org.toucanlane.policy.placement;

import java.time.Duration;

/**
 * Limits the requests of one host to an endpoint that takes a limited rate from all hosts together.
 *
 * <p>Load pattern: an endpoint in need names a rate far below that of its requests, while all hosts of its region have
 * requests for it and find it fast, since little runs there. Each host uses an equal share of the rate, without a message
 * to the others. If the hosts are few, each saves its unused share up to one request, or more at a high rate, so that the
 * rate is used although requests come at random times. Saved requests of many hosts would be a burst, so these take turns
 * by the time of day instead, and an unused turn expires.
 *
 * <p>Invariant: if all hosts know of the same hosts, they send at most {@code rate * (seconds + 1)} + {@value
 * #MAX_SAVED_REQUESTS} requests in any number of seconds while they save; while they take turns, one more than the rate
 * allows, as far as their clocks agree. Not thread-safe.
 */
public final class EndpointRateLimiter {

    /** Time whose requests the hosts together may save. */
    private static final double MAX_SAVED_SECONDS = 1;

    /** Number of requests that the hosts together may save in addition. */
    private static final int MAX_SAVED_REQUESTS = 4;

    private static final double NANOS_PER_SECOND = 1e9;

    private double saved;
    private long updatedAt;
    private long lastTurn = -1;

    /** Creates a limiter that has saved nothing at {@code now}, in monotonic nanoseconds. */
    public EndpointRateLimiter(long now) {
        updatedAt = now;
    }

    /**
     * Returns the time until the host may send a request; zero if it may now.
     *
     * @param share the host's current share of the rate
     * @param now monotonic time in nanoseconds
     * @param timeOfDay time since an epoch that is the same for all hosts
     */
    public Duration delay(EndpointRateShare share, long now, Duration timeOfDay) {
        if (!maySave(share)) {
            return share.timeToTurn(timeOfDay, lastTurn);
        }
        double missing = 1 - saved(share, now);
        return missing <= 0
                ? Duration.ZERO
                : Duration.ofNanos((long) Math.ceil(missing / hostRate(share) * NANOS_PER_SECOND));
    }

    /** Records that the host sends a request; the parameters are those of {@link #delay}. */
    public void recordRequest(EndpointRateShare share, long now, Duration timeOfDay) {
        saved = saved(share, now) - 1;
        updatedAt = now;
        lastTurn = share.turnNumber(timeOfDay);
    }

    private static boolean maySave(EndpointRateShare share) {
        return share.hostCount() <= share.requestsPerSecond() * MAX_SAVED_SECONDS + MAX_SAVED_REQUESTS;
    }

    private double saved(EndpointRateShare share, long now) {
        double rate = hostRate(share);
        double accrued = rate * (now - updatedAt) / NANOS_PER_SECOND;
        return Math.min(Math.max(1, rate * MAX_SAVED_SECONDS), saved + accrued);
    }

    private static double hostRate(EndpointRateShare share) {
        return share.requestsPerSecond() / share.hostCount();
    }
}
