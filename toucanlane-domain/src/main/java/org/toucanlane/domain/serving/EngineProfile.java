package org.toucanlane.domain.serving;

import com.google.common.base.Preconditions;

/**
 * What is known of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens tokens that running requests and kept prefixes share
 */
public record EngineProfile(int slots, long memoryTokens) {

    /** Creates a profile. */
    public EngineProfile {
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(memoryTokens > 0, "memoryTokens must be positive: %s", memoryTokens);
    }
}
