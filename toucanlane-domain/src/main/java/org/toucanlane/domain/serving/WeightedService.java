package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;

/**
 * A service that receives a weighted share of a route's requests.
 *
 * @param service service name
 * @param weight weight relative to the sum of the weights of the route
 */
public record WeightedService(String service, int weight) {

    /** Creates a weighted service. */
    public WeightedService {
        Preconditions.checkArgument(weight >= 0, "weight must not be negative: %s", weight);
    }
}
