package org.toucanlane.policy.retry;

import java.time.Duration;
import java.util.Optional;

/**
 * For how long nothing may come of a request that can be repeated before it is sent to another endpoint.
 *
 * <p>Load pattern: endpoints that crash without a word, and connections that fall silent without a reset, while many
 * requests run on them. Their callers would wait until they give up; a repeat in time is still answered. A request that
 * may run only once waits on, since silence proves nothing. Stateless and thread-safe.
 */
public final class AttemptTimeouts {

    /** Shortest patience: several times a loaded engine's pause between events. */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(700);

    /** Added for an answer that comes through another host: a round trip between far regions. */
    private static final Duration FORWARDING_ALLOWANCE = Duration.ofMillis(300);

    /** Multiple of the estimate that the first answer may take; the estimate is rarely wrong by more. */
    private static final double ESTIMATE_MULTIPLIER = 4;

    /** Multiple of the longest pause that is on time. */
    private static final int GAP_MULTIPLIER = 3;

    private AttemptTimeouts() {}

    /** Returns how long to wait for the first answer that is expected after {@code estimateMillis}. */
    public static Duration forFirstResponse(double estimateMillis, boolean overHop) {
        return withMinimum(Duration.ofMillis((long) (estimateMillis * ESTIMATE_MULTIPLIER)), overHop);
    }

    /** Returns how long to wait for the next event of a stream whose pauses should not exceed {@code longestGap}. */
    public static Duration forNextEvent(Optional<Duration> longestGap, boolean overHop) {
        return withMinimum(
                longestGap.map(gap -> gap.multipliedBy(GAP_MULTIPLIER)).orElse(MIN_TIMEOUT), overHop);
    }

    private static Duration withMinimum(Duration patience, boolean overHop) {
        Duration bounded = patience.compareTo(MIN_TIMEOUT) < 0 ? MIN_TIMEOUT : patience;
        return overHop ? bounded.plus(FORWARDING_ALLOWANCE) : bounded;
    }
}
