package org.toucanlane.edge.limit;

import com.google.common.base.Preconditions;

/**
 * This host's share of an account's limit.
 *
 * @param fraction fraction of the rate and the burst, from 0 to 1
 * @param reachableFraction fraction of all hosts that this host can reach, including itself
 * @param remoteLevel sum of the bucket levels of the other reachable hosts; debts count as negative
 */
public record AccountShare(double fraction, double reachableFraction, double remoteLevel) {

    /**
     * Fraction of the other hosts' tokens that may be borrowed; the rest covers their own use until their next report.
     */
    private static final double BORROWABLE_FRACTION = 0.8;

    /** Validates the fractions. */
    public AccountShare {
        Preconditions.checkArgument(
                fraction >= 0 && fraction <= reachableFraction + 1e-9 && reachableFraction <= 1,
                "fraction must be from 0 to reachableFraction, and that at most 1: %s, %s",
                fraction,
                reachableFraction);
    }

    /** Returns the number of tokens that this host may borrow beyond the level of its own bucket. */
    public double borrowable() {
        return reachableFraction <= 0
                ? 0
                : BORROWABLE_FRACTION * Math.max(0, remoteLevel) * fraction / reachableFraction;
    }
}
