package org.toucanlane.policy.overload;

import java.time.Duration;

/**
 * The part of another host's silence that this host's own stalls explain.
 *
 * <p>Load pattern: a host that stalls for a second takes all other hosts for silent, although their reports wait at its
 * socket. The allowance is bounded, so that hosts that are dead are still noticed by a host that stalls again and again.
 * Not thread-safe: confined to the event loop of the clock.
 */
public final class SilenceAllowance {

    /** Longest time that stalls explain once their reports have been read. */
    public static final Duration MAX = Duration.ofSeconds(1);

    /** Time after a stall in which the reports that waited are read. */
    private static final long AFTERMATH_NANOS = Duration.ofMillis(300).toNanos();

    private final LoopClock clock;

    /** Creates the allowance of the host whose event loop {@code clock} measures. */
    public SilenceAllowance(LoopClock clock) {
        this.clock = clock;
    }

    /** Returns the part of the time since {@code lastReport} in which reports weren't read, at most {@link #MAX}. */
    public long nanosSince(long lastReport) {
        long sum = 0;
        for (LoopClock.Stall stall : clock.stalls()) {
            sum += stall.nanosAfter(lastReport);
        }
        return Math.min(sum, MAX.toNanos());
    }

    /** As {@link #nanosSince}, but not less than the whole latest stall shortly after its end. */
    public long nanosSinceWithUnread(long lastReport, long now) {
        LoopClock.Stall latest = clock.latestStall();
        boolean unread = latest.nanos() > 0 && now - latest.end() < AFTERMATH_NANOS;
        long bounded = nanosSince(lastReport);
        return unread ? Math.max(bounded, latest.nanosAfter(lastReport)) : bounded;
    }
}
