package org.toucanlane.policy.overload;

import java.time.Duration;

/**
 * Spreads the times at which refused callers come back.
 *
 * <p>Load pattern: a host that was stalled or isn't ready refuses hundreds of requests within milliseconds. With one and the
 * same delay all of them come back in one herd, which is as large as the first. Stateless and thread-safe.
 */
public final class RetrySpread {

    /** Number of low bits of a hash that are used: enough for a step below a millisecond in any delay. */
    private static final int HASH_BITS = 16;

    private RetrySpread() {}

    /**
     * Returns a delay between half and one and a half times {@code mean}, the same for equal hashes.
     *
     * @param hash uniformly distributed hash of the request's id
     */
    public static Duration around(Duration mean, long hash) {
        long steps = 1L << HASH_BITS;
        long nanos = mean.toNanos();
        return Duration.ofNanos(nanos / 2 + Math.floorMod(hash, steps) * (nanos / steps));
    }
}
