package org.toucanlane.policy.placement;

import com.google.common.base.Preconditions;
import org.toucanlane.policy.capacity.EngineProfile;

/**
 * The known load of one endpoint, summed over all hosts that send requests to it. Immutable.
 *
 * @param endpoint name of the endpoint
 * @param endpointHash hash of the name, by {@code RendezvousHash.hash}
 * @param slots number of requests that it runs concurrently; at most as many as its throughput grows with
 * @param running number of requests in flight there
 * @param pendingPromptTokens prompt tokens of requests in flight that have not produced their first token
 * @param usedKvTokens KV cache tokens that its requests occupy
 * @param kvCapacityTokens capacity of its KV cache in tokens; 0 for a plain service
 * @param slowdownFactor ratio of the endpoint's response time to that of a usual endpoint of its service
 * @param failureRate fraction of recent requests that failed there, from 0 to 1
 * @param meanServiceMillis mean time for which a request occupies a slot, in milliseconds
 * @param profile what determines the response time of a usual engine of its service
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
        double meanServiceMillis,
        EngineProfile profile) {

    /** Validates the components. */
    public EndpointLoad {
        Preconditions.checkArgument(slots > 0, "slots must be positive: %s", slots);
        Preconditions.checkArgument(
                failureRate >= 0 && failureRate <= 1, "failureRate must be from 0 to 1: %s", failureRate);
    }

    /** Returns whether the endpoint is a model engine, as opposed to a plain service. */
    public boolean isEngine() {
        return kvCapacityTokens > 0;
    }
}
