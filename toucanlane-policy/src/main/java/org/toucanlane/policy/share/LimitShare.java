package org.toucanlane.policy.share;

import com.google.common.base.Preconditions;

/**
 * Computes the share of an account's rate limit that one host may use.
 *
 * <p>Load pattern: an account's requests follow the daytime of its callers from region to region, while network
 * partitions can separate hosts at any moment. A small fraction of the limit is divided evenly, so that the first
 * request at a host finds some quota; the rest is divided by demand among the hosts that can reach each other. These
 * divide only the fraction of the limit that corresponds to their fraction of the fleet, so the shares of all hosts on
 * both sides of a partition sum to one. Stateless and thread-safe.
 */
public final class LimitShare {

    /** Fraction of the limit that is divided evenly between all hosts. */
    private static final double EVEN_FRACTION = 0.15;

    private LimitShare() {}

    /**
     * Returns this host's share of the limit, from 0 to 1.
     *
     * @param hosts number of hosts that hold a lease, including this one
     * @param reachable number of those hosts that have reported recently, including this one
     * @param ownDemand recent demand at this host
     * @param reachableDemand recent demand at all reachable hosts, including this one
     */
    public static double of(int hosts, int reachable, double ownDemand, double reachableDemand) {
        Preconditions.checkArgument(hosts > 0, "hosts must be positive: %s", hosts);
        Preconditions.checkArgument(
                reachable > 0 && reachable <= hosts, "reachable must be from 1 to %s: %s", hosts, reachable);
        double even = 1.0 / hosts;
        double reachableShare = (double) reachable / hosts;
        double byDemand = reachableDemand <= 0 ? even : reachableShare * Math.min(1, ownDemand / reachableDemand);
        return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * byDemand;
    }
}
