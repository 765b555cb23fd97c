package org.toucanlane.policy.routing;

import com.google.common.base.Preconditions;

/**
 * How much routing cares for what.
 *
 * @param comfortableLoad use of capacity up to which nobody is thought to wait
 * @param millisPerOverload expected wait for each further unit of load, in milliseconds
 * @param awayMarginMillis by how much going elsewhere must be better, in milliseconds
 */
public record RoutingWeights(double comfortableLoad, double millisPerOverload, double awayMarginMillis) {

    /** Creates weights. */
    public RoutingWeights {
        Preconditions.checkArgument(comfortableLoad > 0, "comfortableLoad must be positive: %s", comfortableLoad);
        Preconditions.checkArgument(millisPerOverload > 0, "millisPerOverload must be positive: %s", millisPerOverload);
        Preconditions.checkArgument(
                awayMarginMillis >= 0, "awayMarginMillis must not be negative: %s", awayMarginMillis);
    }

    /** Returns the weights used unless others are set. */
    public static RoutingWeights defaults() {
        return new RoutingWeights(0.9, 1000, 50);
    }
}
