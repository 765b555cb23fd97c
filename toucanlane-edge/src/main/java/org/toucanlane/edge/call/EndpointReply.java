package org.toucanlane.edge.call;

import java.util.Optional;

/**
 * The head of an endpoint's answer.
 *
 * @param status HTTP status
 * @param callId request that it answers, if it says so
 * @param notRun whether the endpoint vouches that it has not run the request
 * @param otherEndpoint whether the endpoint is not the one that was meant
 * @param vouched whether the endpoint has marked the answer as its own
 */
public record EndpointReply(
        int status, Optional<String> callId, boolean notRun, boolean otherEndpoint, boolean vouched) {

    /** Returns whether the status is one of success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
