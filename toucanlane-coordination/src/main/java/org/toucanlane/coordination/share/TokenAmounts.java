package org.toucanlane.coordination.share;

/**
 * Arithmetic on token amounts in billionths of a token, in which tokens per second times nanoseconds is exact.
 */
final class TokenAmounts {

    static final long UNITS_PER_TOKEN = 1_000_000_000L;

    /** Maximum number of tokens in a bucket. */
    static final long MAX_TOKENS = Long.MAX_VALUE / UNITS_PER_TOKEN / 4;

    private TokenAmounts() {}

    static long toUnits(long tokens) {
        return Math.multiplyExact(tokens, UNITS_PER_TOKEN);
    }

    static long wholeTokens(long units) {
        return Math.floorDiv(units, UNITS_PER_TOKEN);
    }

    /** Returns the units that accrue in {@code nanos} at {@code tokensPerSecond}, at most {@code limit}. */
    static long accrued(long tokensPerSecond, long nanos, long limit) {
        if (tokensPerSecond == 0 || nanos <= 0 || limit <= 0) {
            return 0;
        }
        boolean overflows = nanos > limit / tokensPerSecond;
        return overflows ? limit : Math.min(limit, tokensPerSecond * nanos);
    }
}
