package org.toucanlane.policy.routing;

import java.util.Optional;

/**
 * The result of selecting an endpoint.
 *
 * @param endpoint name of the selected endpoint; empty if none is available
 * @param reason why it was selected
 */
public record EndpointSelection(Optional<String> endpoint, Reason reason) {

    /** Why an endpoint was selected. */
    public enum Reason {
        /** Its name ranks highest for the prompt prefix among endpoints below the load bound. */
        AFFINITY,
        /** It is the less loaded of two candidates drawn at random. */
        LEAST_LOADED_OF_TWO,
        /** It is the only available candidate. */
        ONLY_CANDIDATE,
        /** No endpoint is available. */
        NONE_AVAILABLE
    }
}
