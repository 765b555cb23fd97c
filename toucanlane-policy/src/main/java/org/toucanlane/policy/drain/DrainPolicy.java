package org.toucanlane.policy.drain;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a host that is stopping takes a request.
 *
 * <p>Load pattern: callers that go on sending to a host for some seconds after it has begun to stop, with requests of
 * which some take longer than the rest of its grace period. A request that is refused costs its caller one repeat at
 * another host. One that is taken and doesn't end in time is cut, and can't be repeated if it may run only once. So a
 * request of unknown duration is refused unless its deadline is before the end of the grace period. Stateless and
 * thread-safe.
 */
public final class DrainPolicy {

    private DrainPolicy() {}

    /**
     * Returns whether the response is expected to be complete before the grace period is over.
     *
     * @param graceLeft time until the host ends the requests that are still running
     * @param timeLeft time until the deadline of the request, at which it ends in any case
     * @param expected time that the response is expected to take, if known
     */
    public static boolean fits(Duration graceLeft, Duration timeLeft, Optional<Duration> expected) {
        return timeLeft.compareTo(graceLeft) <= 0
                || expected.filter(time -> time.compareTo(graceLeft) <= 0).isPresent();
    }
}
