package org.toucanlane.gateway.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.time.Duration;
import org.toucanlane.domain.outcome.RequestFailedException;

/** Creates the error responses that callers receive for rejected and failed requests. Stateless and thread-safe. */
final class ErrorResponses {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final long MILLIS_PER_SECOND = 1000;

    private ErrorResponses() {}

    /** Returns the error response for a failed request. */
    static Response toResponse(String requestId, RequestFailedException e) {
        Response.ResponseBuilder response = Response.status(e.kind().status())
                .type(MediaType.APPLICATION_JSON_TYPE)
                .header(CallerContext.REQUEST_ID_HEADER, requestId)
                .entity(body(requestId, e));
        if (e.kind().isRetryable()) {
            long seconds = (retryAfter(e).toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.header(HttpHeaders.RETRY_AFTER, Math.max(1, seconds));
        }
        return response.build();
    }

    private static Duration retryAfter(RequestFailedException e) {
        return e.retryAfter().orElse(DEFAULT_RETRY_AFTER);
    }

    /** Returns the response body, a JSON object with the single field {@code error}. */
    static String body(String requestId, RequestFailedException e) {
        ObjectNode error = JSON.createObjectNode();
        error.put("message", e.getMessage());
        error.put("type", e.kind().code());
        error.put("code", e.kind().code());
        error.put("ran", e.kind().executionStatus().code());
        if (e.kind().isRetryable()) {
            error.put("retry_after_millis", retryAfter(e).toMillis());
        }
        error.put("request_id", requestId);
        ObjectNode body = JSON.createObjectNode();
        body.set("error", error);
        return body.toString();
    }
}
