package org.toucanlane.domain.serving;

/** What an account's limit counts. */
public enum LimitUnit {
    /** Each request counts as one. */
    REQUESTS {
        @Override
        long costOf(long declaredTokens, long plainTokens) {
            return 1;
        }
    },
    /** A request counts as its prompt and its longest output. */
    TOKENS {
        @Override
        long costOf(long declaredTokens, long plainTokens) {
            return Math.max(1, declaredTokens >= 0 ? declaredTokens : plainTokens);
        }
    };

    abstract long costOf(long declaredTokens, long plainTokens);
}
