package org.toucanlane.policy.retry;

import java.time.Duration;
import java.util.Optional;

/**
 * Timeouts after which an attempt of an idempotent request that shows no progress is retried at another endpoint.
 *
 * <p>Load pattern: endpoints that crash, or connections that stall without a reset, while many requests run on them.
 * Without these timeouts the callers would wait until their own deadlines; a timely retry can still be answered. A
 * request that is not idempotent keeps waiting, since a missing response does not prove that it did not run. Stateless
 * and thread-safe.
 */
public final class AttemptTimeouts {

    /** Minimum timeout: several times the gap between events of a loaded engine. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(700);

    /** Added if the response is forwarded by another host: a round trip between distant regions. */
    private static final Duration FORWARDING_ALLOWANCE = Duration.ofMillis(300);

    /** Multiple of the estimated time to the first response; the estimate is rarely off by a larger factor. */
    private static final double ESTIMATE_MULTIPLIER = 4;

    /** Multiple of the longest gap between events that still counts as on time. */
    private static final int GAP_MULTIPLIER = 3;

    private AttemptTimeouts() {}

    /** Returns the timeout for a first response that is expected after {@code estimateMillis}. */
    public static Duration forFirstResponse(double estimateMillis, boolean forwarded) {
        return withMinimum(Duration.ofMillis((long) (estimateMillis * ESTIMATE_MULTIPLIER)), forwarded);
    }

    /** Returns the timeout for the next event of a stream whose gaps should not exceed {@code longestGap}. */
    public static Duration forNextEvent(Optional<Duration> longestGap, boolean forwarded) {
        return withMinimum(
                longestGap.map(gap -> gap.multipliedBy(GAP_MULTIPLIER)).orElse(MIN_TIMEOUT), forwarded);
    }

    private static Duration withMinimum(Duration timeout, boolean forwarded) {
        Duration bounded = timeout.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : timeout;
        return forwarded ? bounded.plus(FORWARDING_ALLOWANCE) : bounded;
    }
}
