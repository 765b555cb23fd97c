package org.toucanlane.domain.outcome;

import java.util.Locale;

/**
 * The closed set of request failures, each with the HTTP status, execution status and retry advice returned to the
 * caller.
 *
 * <p>Invariant: a kind with {@link ExecutionStatus#NOT_RUN} is used only if no byte of the request was sent to an
 * endpoint, or if the host to which the request was forwarded reported so under the same request id.
 */
public enum ErrorKind {
    /** The request is malformed. */
    INVALID_REQUEST(400, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The API key is missing, unknown or revoked. */
    UNAUTHENTICATED(401, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** Too many attempts with a wrong secret from one source; the API key was rejected without being checked. */
    TOO_MANY_GUESSES(429, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The account is not permitted to use the route. */
    FORBIDDEN(403, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** No route matches the path or the model. */
    UNKNOWN_ROUTE(404, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The route does not accept the HTTP method. */
    METHOD_NOT_ALLOWED(405, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The idempotency key was already used with a different request. */
    IDEMPOTENCY_KEY_REUSED(422, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The request needs more tokens than the account's burst capacity, or its body is too long. */
    REQUEST_TOO_LARGE(413, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The account has exhausted its rate limit, including the burst. */
    RATE_LIMITED(429, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The account's local share of tokens is exhausted, and hosts that hold the other shares are unreachable. */
    LIMIT_UNREACHABLE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The request was rejected because too many requests are already queued. */
    OVERLOADED(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The request is not expected to start before its deadline. */
    DEADLINE_TOO_CLOSE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** No eligible endpoint is available. */
    NO_ENDPOINT(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** Endpoints have crashed on the request or on a segment of its prompt. */
    PROMPT_QUARANTINED(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** No data centre permitted by the residency rules is reachable. */
    RESIDENCY_UNREACHABLE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** This host has not loaded a configuration yet. */
    NOT_READY(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** This host is shutting down. */
    LEAVING(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The request has already passed through this gateway: a forwarding loop. */
    LOOP_DETECTED(508, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The table of idempotency keys is full. */
    CLAIMS_FULL(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** An earlier request with the same idempotency key is still in progress, or its outcome was lost. */
    REPEAT_UNRESOLVED(409, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** It can't be determined now whether the idempotency key was used before. This request was not forwarded. */
    CLAIM_UNAVAILABLE(503, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The API key was revoked while the request was running. */
    KEY_WITHDRAWN(401, ExecutionStatus.UNKNOWN, Retry.NEVER),
    /** The endpoint failed after the request may have reached it. */
    ENDPOINT_FAILED(502, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The response was truncated. */
    ANSWER_INCOMPLETE(502, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The deadline passed after the request may have reached an endpoint. */
    TIMED_OUT(504, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The caller cancelled the request or disconnected. */
    CANCELLED(499, ExecutionStatus.UNKNOWN, Retry.NEVER),
    /** Internal error. */
    INTERNAL(500, ExecutionStatus.UNKNOWN, Retry.LATER);

    private final int status;
    private final ExecutionStatus executionStatus;
    private final Retry retry;

    ErrorKind(int status, ExecutionStatus executionStatus, Retry retry) {
        this.status = status;
        this.executionStatus = executionStatus;
        this.retry = retry;
    }

    /** Returns the HTTP status of the response. */
    public int status() {
        return status;
    }

    /** Returns whether the requested action was executed. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }

    /** Returns whether the same request may succeed later. */
    public boolean isRetryable() {
        return retry == Retry.LATER;
    }

    /** Returns whether this is a failure of the gateway or of an endpoint that operators should be alerted to. */
    public boolean isFault() {
        return status >= 500 && executionStatus != ExecutionStatus.NOT_RUN;
    }

    /** Returns the error code used in responses, logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    private enum Retry {
        NEVER,
        LATER
    }
}
