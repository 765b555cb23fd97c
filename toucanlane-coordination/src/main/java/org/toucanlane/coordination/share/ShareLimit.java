package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;

/**
 * The rate and burst of an account, or of one host's part of it.
 *
 * @param tokensPerSecond accrual rate in tokens per second, not negative
 * @param burstTokens bucket capacity in tokens, not negative
 */
public record ShareLimit(long tokensPerSecond, long burstTokens) {

    /** A limit with zero rate and zero burst. */
    public static final ShareLimit NONE = new ShareLimit(0, 0);

    /** Creates a limit. */
    public ShareLimit {
        Preconditions.checkArgument(
                tokensPerSecond >= 0 && tokensPerSecond <= TokenAmounts.MAX_TOKENS,
                "tokensPerSecond out of range: %s",
                tokensPerSecond);
        Preconditions.checkArgument(
                burstTokens >= 0 && burstTokens <= TokenAmounts.MAX_TOKENS,
                "burstTokens out of range: %s",
                burstTokens);
    }

    /** Returns the component-wise minimum of both limits. */
    public ShareLimit min(ShareLimit other) {
        return new ShareLimit(
                Math.min(tokensPerSecond, other.tokensPerSecond), Math.min(burstTokens, other.burstTokens));
    }

    /** Returns whether neither the rate nor the burst exceeds that of {@code other}. */
    public boolean isWithin(ShareLimit other) {
        return tokensPerSecond <= other.tokensPerSecond && burstTokens <= other.burstTokens;
    }
}
