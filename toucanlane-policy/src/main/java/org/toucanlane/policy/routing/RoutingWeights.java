package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;

/**
 * Weights of the costs that data centres are ranked by.
 *
 * @param comfortableLoad utilization up to which requests are assumed not to queue
 * @param millisPerOverload expected wait for each unit of load above that, in milliseconds
 * @param awayMarginMillis cost by which a remote data centre must beat the local one, in milliseconds
 */
public record RoutingWeights(double comfortableLoad, double millisPerOverload, double awayMarginMillis) {

    /** Validates the components. */
    public RoutingWeights {
        Preconditions.checkArgument(comfortableLoad > 0, "comfortableLoad must be positive: %s", comfortableLoad);
        Preconditions.checkArgument(millisPerOverload > 0, "millisPerOverload must be positive: %s", millisPerOverload);
        Preconditions.checkArgument(
                awayMarginMillis >= 0, "awayMarginMillis must not be negative: %s", awayMarginMillis);
    }

    /** Returns the default weights. */
    public static RoutingWeights defaults() {
        return new RoutingWeights(0.9, 1000, 50);
    }
}
