package org.toucanlane.policy.routing;

import java.util.Optional;

/**
 * A decision on an endpoint.
 *
 * @param endpoint the endpoint chosen; empty if none may be used
 * @param reason why it won
 */
public record EndpointSelection(Optional<String> endpoint, Reason reason) {

    /** Why an endpoint was chosen. */
    public enum Reason {
        /** It holds the cached start of the prompt and has room. */
        AFFINITY,
        /** It is the less loaded of two drawn at random. */
        LEAST_LOADED_OF_TWO,
        /** It is the only one left. */
        ONLY_CANDIDATE,
        /** No endpoint may be used. */
        NONE_AVAILABLE
    }
}
