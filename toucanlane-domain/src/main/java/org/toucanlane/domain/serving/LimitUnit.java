package org.toucanlane.domain.serving;

/** The unit in which an account's rate limit is expressed. */
public enum LimitUnit {
    /** Each request costs one unit. */
    REQUESTS {
        @Override
        long costOf(long declaredTokens, long defaultTokens) {
            return 1;
        }
    },
    /** A request costs the sum of its prompt tokens and its maximum output tokens. */
    TOKENS {
        @Override
        long costOf(long declaredTokens, long defaultTokens) {
            return Math.max(1, declaredTokens >= 0 ? declaredTokens : defaultTokens);
        }
    };

    abstract long costOf(long declaredTokens, long defaultTokens);
}
