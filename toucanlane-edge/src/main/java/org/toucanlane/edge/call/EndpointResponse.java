package org.toucanlane.edge.call;

import java.util.Optional;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param requestId request that it answers, if it says so
 * @param notExecuted whether the endpoint vouches that it has not run the request
 * @param misdirected whether the endpoint is not the one that was meant
 * @param hasSeal whether the endpoint has marked the answer as its own
 */
public record EndpointResponse(
        int status, Optional<String> requestId, boolean notExecuted, boolean misdirected, boolean hasSeal) {

    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
