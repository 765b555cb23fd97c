package org.toucanlane.edge.call;

import java.util.Optional;

/**
 * The parsed head of an endpoint's response.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers, if the endpoint names it
 * @param notExecuted whether the endpoint guarantees that it has not run the request
 * @param misdirected whether the response comes from an endpoint other than the intended one
 * @param hasSeal whether the response carries the mark by which an endpoint identifies its own responses
 */
public record EndpointResponse(
        int status, Optional<String> requestId, boolean notExecuted, boolean misdirected, boolean hasSeal) {

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
