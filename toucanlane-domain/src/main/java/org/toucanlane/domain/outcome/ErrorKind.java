package org.toucanlane.domain.outcome;

import java.util.Locale;

/**
 * Every way in which a request can fail, with the answer that a caller gets.
 *
 * <p>Invariant: a kind that says {@link ExecutionStatus#NOT_RUN} is used only where no byte of the request was sent to an endpoint,
 * or where the host that was asked said so under the same request id.
 */
public enum ErrorKind {
    /** The request is malformed. */
    INVALID_REQUEST(400, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The key is missing, unknown or withdrawn. */
    UNAUTHENTICATED(401, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The key was presented with a wrong secret too often from one source; it was not looked at. */
    TOO_MANY_GUESSES(429, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The account may not use the route. */
    FORBIDDEN(403, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** No route serves the path or the model. */
    UNKNOWN_ROUTE(404, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The route does not take the method. */
    METHOD_NOT_ALLOWED(405, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The same idempotency key came with another request before. */
    IDEMPOTENCY_KEY_REUSED(422, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The request needs more tokens than the account can ever hold, or its body is too long. */
    REQUEST_TOO_LARGE(413, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** The account has used up its rate and burst. */
    RATE_LIMITED(429, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The account's tokens here are used up, and hosts that hold the rest can't be reached. */
    LIMIT_UNREACHABLE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** Too much is waiting already. */
    OVERLOADED(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The request cannot start before its deadline. */
    DEADLINE_TOO_CLOSE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** No endpoint that the request may use is available. */
    NO_ENDPOINT(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** No data centre in which the request may run is reachable. */
    RESIDENCY_UNREACHABLE(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** This host has no configuration yet. */
    NOT_READY(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** This host is shutting down. */
    LEAVING(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** The request has passed through this system before. */
    LOOP_DETECTED(508, ExecutionStatus.NOT_RUN, Retry.NEVER),
    /** There is no room for another idempotency key. */
    CLAIMS_FULL(503, ExecutionStatus.NOT_RUN, Retry.LATER),
    /** An earlier request under the same idempotency key has not ended, or its outcome was lost. */
    REPEAT_UNRESOLVED(409, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** Whether the idempotency key was used before cannot be told now. This request was not sent on. */
    CLAIM_UNAVAILABLE(503, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The key was withdrawn while the request ran. */
    KEY_WITHDRAWN(401, ExecutionStatus.UNKNOWN, Retry.NEVER),
    /** The endpoint failed after the request may have reached it. */
    ENDPOINT_FAILED(502, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The answer broke off. */
    ANSWER_INCOMPLETE(502, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The deadline passed after the request may have reached an endpoint. */
    TIMED_OUT(504, ExecutionStatus.UNKNOWN, Retry.LATER),
    /** The caller went away. */
    CANCELLED(499, ExecutionStatus.UNKNOWN, Retry.NEVER),
    /** A defect of this system. */
    INTERNAL(500, ExecutionStatus.UNKNOWN, Retry.LATER);

    private final int status;
    private final ExecutionStatus executionStatus;
    private final Retry retry;

    ErrorKind(int status, ExecutionStatus ran, Retry retry) {
        this.status = status;
        this.executionStatus = ran;
        this.retry = retry;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns whether the action was run. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }

    /** Returns whether the same request may succeed later. */
    public boolean isRetryable() {
        return retry == Retry.LATER;
    }

    /** Returns whether operators should hear of it: a failure of the system or of an endpoint. */
    public boolean isFault() {
        return status >= 500 && executionStatus != ExecutionStatus.NOT_RUN;
    }

    /** Returns the word used in answers, logs and metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    private enum Retry {
        NEVER,
        LATER
    }
}
