package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;

/**
 * One of the services that a route's requests are divided between.
 *
 * @param service name of the service
 * @param weight its part, relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {

    /** Creates a share. */
    public WeightedService {
        Preconditions.checkArgument(weight >= 0, "weight must not be negative: %s", weight);
    }
}
