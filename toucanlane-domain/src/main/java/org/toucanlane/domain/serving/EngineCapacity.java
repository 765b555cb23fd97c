package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;

/**
 * What is known of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param kvCapacityTokens tokens that running requests and kept prefixes share
 */
public record EngineCapacity(int slots, long kvCapacityTokens) {

    /** Creates a profile. */
    public EngineCapacity {
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(kvCapacityTokens > 0, "memoryTokens must be positive: %s", kvCapacityTokens);
    }
}
