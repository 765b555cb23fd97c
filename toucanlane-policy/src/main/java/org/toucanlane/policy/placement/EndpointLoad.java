package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;

/**
 * What is known of one endpoint's load, summed over the hosts that send to it. Immutable.
 *
 * @param endpoint name of the endpoint
 * @param endpointHash hash of the name, from {@code RendezvousHash.hash}
 * @param slots requests that it runs at once
 * @param running requests that it has
 * @param pendingPromptTokens prompt tokens of requests that have not had their first token
 * @param usedKvTokens tokens that its requests keep in memory
 * @param kvCapacityTokens tokens that fit into its memory; 0 for a plain service
 * @param slowdownFactor how much longer its answers took than estimated; 1 is as estimated
 * @param failureRate share of recent requests that it failed, from 0 to 1
 * @param meanServiceMillis mean time for which a request occupies it
 */
public record EndpointLoad(
        String endpoint,
        long endpointHash,
        int slots,
        int running,
        long pendingPromptTokens,
        long usedKvTokens,
        long kvCapacityTokens,
        double slowdownFactor,
        double failureRate,
        double meanServiceMillis) {

    /** Creates a load. */
    public EndpointLoad {
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(
                failureRate >= 0 && failureRate <= 1, "failureRate must be from 0 to 1: %s", failureRate);
    }

    /** Returns whether it is a model engine. */
    public boolean isEngine() {
        return kvCapacityTokens > 0;
    }
}
