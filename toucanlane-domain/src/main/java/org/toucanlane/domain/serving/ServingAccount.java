package org.toucanlane.domain.serving;

import java.util.OptionalInt;
import java.util.Set;

/**
 * The part of a client account that hosts need to admit its requests.
 *
 * @param name unique name
 * @param priority priority that overrides the route's, if any; 0 is the most urgent
 * @param ratePerSecond rate limit per second over all hosts; 0 for no limit
 * @param burst burst capacity in excess of the rate
 * @param unit unit of the rate and the burst
 * @param defaultTokens cost in tokens of a request that declares no size
 * @param regions regions in which its requests may be executed; empty for all
 */
public record ServingAccount(
        String name,
        OptionalInt priority,
        double ratePerSecond,
        double burst,
        LimitUnit unit,
        long defaultTokens,
        Set<String> regions) {

    /** Creates an account. */
    public ServingAccount {
        regions = Set.copyOf(regions);
    }

    /** Returns whether the account is rate limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Returns the cost of a request in units of the limit.
     *
     * @param declaredTokens prompt tokens plus maximum output tokens, or a negative number if not declared
     */
    public long costOf(long declaredTokens) {
        return unit.costOf(declaredTokens, defaultTokens);
    }
}
