package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.Arrays;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.wire.PeerCallException;

/** Translates failed calls to peers into the closed list of error kinds. Stateless and thread-safe. */
final class PeerFailures {

    private PeerFailures() {}

    /** Translates a failure before the head of the answer came. */
    static RequestFailedException beforeResponse(PeerCallException e) {
        return switch (e.reason()) {
            case NOT_SENT -> failure(ErrorKind.RESIDENCY_UNREACHABLE, e);
            case ENDED_BY_PEER -> failure(kindOf(e.errorKind()), e);
            case BROKEN -> failure(ErrorKind.ENDPOINT_FAILED, e);
            case TIMED_OUT -> failure(ErrorKind.TIMED_OUT, e);
        };
    }

    /** Translates a failure after the head of the answer came: the request ran, at least in part. */
    static RequestFailedException duringResponse(PeerCallException e) {
        ErrorKind said = kindOf(e.errorKind());
        return failure(said == ErrorKind.KEY_WITHDRAWN ? said : ErrorKind.ANSWER_INCOMPLETE, e);
    }

    static RequestFailedException interrupted(InterruptedException e) {
        return new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "interrupted", e);
    }

    private static RequestFailedException failure(ErrorKind kind, PeerCallException e) {
        Duration retryAfter = e.retryAfterMillis() > 0 ? Duration.ofMillis(e.retryAfterMillis()) : null;
        return new RequestFailedException(kind, e.getMessage(), retryAfter, e);
    }

    /** Returns the kind that a peer named; one that this version doesn't know leaves the outcome open. */
    private static ErrorKind kindOf(String name) {
        return Arrays.stream(ErrorKind.values())
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElse(ErrorKind.INTERNAL);
    }
}
