package org.toucanlane.policy.share;

import com.google.common.base.Preconditions;

/**
 * The part of an account's limit that one host may use.
 *
 * <p>Load pattern: an account's requests arrive where its callers are awake, and that moves between regions through the
 * day, while hosts can be cut off from each other at any moment. A small part is divided evenly, so that a first request
 * finds some; the rest follows the demand among the hosts that hear each other. Hosts that hear each other divide only
 * their own fraction of the fleet, so the parts of all hosts sum to one on both sides of any cut. Stateless and
 * thread-safe.
 */
public final class LimitShare {

    /** Part that is divided evenly. */
    private static final double EVEN_FRACTION = 0.15;

    private LimitShare() {}

    /**
     * Returns the part of the limit, from 0 to 1.
     *
     * @param hosts hosts that hold a lease, with this one
     * @param reachable those of them that have reported lately, with this one
     * @param ownDemand what callers have asked of this host lately
     * @param reachableDemand what callers have asked lately of the hosts that have reported, with this one
     */
    public static double of(int hosts, int reachable, double ownDemand, double reachableDemand) {
        Preconditions.checkArgument(hosts > 0, "hosts must be positive: %s", hosts);
        Preconditions.checkArgument(
                reachable > 0 && reachable <= hosts, "reachable must be from 1 to %s: %s", hosts, reachable);
        double even = 1.0 / hosts;
        double group = (double) reachable / hosts;
        double byDemand = reachableDemand <= 0 ? even : group * Math.min(1, ownDemand / reachableDemand);
        return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * byDemand;
    }
}
