package org.toucanlane.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Min;
import org.toucanlane.policy.routing.RoutingWeights;

/** Settings of the routing weights; see {@code docs/OPERATING.md}. */
public final class RoutingSettings {

    /** Utilization up to which requests are assumed not to queue. */
    @JsonProperty
    @DecimalMin("0.1")
    private double comfortableLoad = RoutingWeights.defaults().comfortableLoad();

    /** Expected wait for each unit of load above that, in milliseconds. */
    @JsonProperty
    @Min(1)
    private double millisPerOverload = RoutingWeights.defaults().millisPerOverload();

    /** Cost by which a remote data centre must beat the local one, in milliseconds. */
    @JsonProperty
    @Min(0)
    private double awayMarginMillis = RoutingWeights.defaults().awayMarginMillis();

    /** Returns the routing weights. */
    public RoutingWeights toWeights() {
        return new RoutingWeights(comfortableLoad, millisPerOverload, awayMarginMillis);
    }
}
