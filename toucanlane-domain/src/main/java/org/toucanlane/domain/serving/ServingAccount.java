package org.toucanlane.domain.serving;

import java.util.OptionalInt;
import java.util.Set;

/**
 * A client account as hosts serve it.
 *
 * @param name unique name
 * @param priority rank that goes before the route's, if any; 0 is the most urgent
 * @param ratePerSecond what it may use in a second over all hosts; 0 for no limit
 * @param burst what it may use beyond the rate at once
 * @param unit what rate and burst count
 * @param defaultTokens tokens that a request without a declared size counts as
 * @param regions regions in which its requests may run; empty for all
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

    /** Returns whether its use is limited. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }

    /**
     * Returns what a request counts against the limit.
     *
     * @param declaredTokens prompt and longest output, or a negative number if the request does not say
     */
    public long costOf(long declaredTokens) {
        return unit.costOf(declaredTokens, defaultTokens);
    }
}
