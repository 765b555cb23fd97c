package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The parsed head of an endpoint's response.
 *
 * @param status HTTP status
 * @param requestId id of the request that it answers, if the endpoint names it
 * @param notExecuted whether the endpoint guarantees that it has not run the request
 * @param misdirected whether the response comes from an endpoint other than the intended one
 * @param leaving whether the endpoint announces that it is about to shut down and wants no new requests
 * @param retryAfter time for which the endpoint, having rejected the request, wants no requests from this host
 * @param requestLimit requests per second that the endpoint takes from all hosts together, if it limits them
 * @param hasSeal whether the response carries the mark by which an endpoint identifies its own responses
 */
public record EndpointResponse(
        int status,
        Optional<String> requestId,
        boolean notExecuted,
        boolean misdirected,
        boolean leaving,
        Optional<Duration> retryAfter,
        OptionalDouble requestLimit,
        boolean hasSeal) {

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns whether the status is 5xx. */
    public boolean isServerError() {
        return status >= 500;
    }

    /**
     * Returns whether callers read the status as a statement that the request was not run. Only a host may make that
     * statement on behalf of an endpoint.
     */
    public boolean impliesNotExecuted() {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }
}
