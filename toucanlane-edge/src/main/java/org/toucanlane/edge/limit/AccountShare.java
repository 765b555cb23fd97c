package org.toucanlane.edge.limit;

import com.google.common.base.Preconditions;

/**
 * What this host may use of an account's limit.
 *
 * @param fraction its part of rate and burst, from 0 to 1
 * @param reachableFraction the part of all hosts that hear each other, with this one
 * @param remoteLevel what the buckets of the others among them hold, less their debts
 */
public record AccountShare(double fraction, double reachableFraction, double remoteLevel) {

    /** Part of what others hold that is drawn on; the rest covers what they use until their next report. */
    private static final double BORROWABLE_FRACTION = 0.8;

    /** Creates a share. */
    public AccountShare {
        Preconditions.checkArgument(
                fraction >= 0 && fraction <= reachableFraction + 1e-9 && reachableFraction <= 1,
                "part must be from 0 to reachablePart, and that at most 1: %s, %s",
                fraction,
                reachableFraction);
    }

    /** Returns how far this host may go into debt beyond what its own bucket holds. */
    public double borrowable() {
        return reachableFraction <= 0
                ? 0
                : BORROWABLE_FRACTION * Math.max(0, remoteLevel) * fraction / reachableFraction;
    }
}
