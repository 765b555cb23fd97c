package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;

/**
 * Capacity of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param kvCapacityTokens KV cache tokens that running requests and cached prefixes share
 */
public record EngineCapacity(int slots, long kvCapacityTokens) {

    /** Creates a capacity. */
    public EngineCapacity {
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(kvCapacityTokens > 0, "kvCapacityTokens must be positive: %s", kvCapacityTokens);
    }
}
