package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;

/**
 * A rate and a burst, of an account or of the part of it that one host holds.
 *
 * @param tokensPerSecond what accrues, in tokens a second, not negative
 * @param burstTokens the most that may be held, in tokens, not negative
 */
public record ShareLimit(long tokensPerSecond, long burstTokens) {

    /** No share at all. */
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

    /** Returns the smaller of each part. */
    public ShareLimit min(ShareLimit other) {
        return new ShareLimit(
                Math.min(tokensPerSecond, other.tokensPerSecond), Math.min(burstTokens, other.burstTokens));
    }

    /** Returns whether neither part is larger than that of {@code other}. */
    public boolean isWithin(ShareLimit other) {
        return tokensPerSecond <= other.tokensPerSecond && burstTokens <= other.burstTokens;
    }
}
