package org.toucanlane.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Min;
import org.toucanlane.policy.routing.RoutingWeights;

/** How routing weighs its terms; see {@code docs/OPERATING.md}. */
public final class RoutingSettings {

    /** Use of capacity up to which nobody is thought to wait. */
    @JsonProperty
    @DecimalMin("0.1")
    private double comfortableLoad = RoutingWeights.defaults().comfortableLoad();

    /** Expected wait for each further unit of load, in milliseconds. */
    @JsonProperty
    @Min(1)
    private double millisPerOverload = RoutingWeights.defaults().millisPerOverload();

    /** By how much another data centre must be better, in milliseconds. */
    @JsonProperty
    @Min(0)
    private double awayMarginMillis = RoutingWeights.defaults().awayMarginMillis();

    /** Returns the weights as the policy takes them. */
    public RoutingWeights toWeights() {
        return new RoutingWeights(comfortableLoad, millisPerOverload, awayMarginMillis);
    }
}
