package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.Arrays;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.wire.PeerCallException;

/** Maps failed peer calls to error kinds. Stateless and thread-safe. */
final class PeerFailures {

    private PeerFailures() {}

    /** Maps a failure that occurred before the response head was received. */
    static RequestFailedException beforeResponse(PeerCallException e) {
        return switch (e.reason()) {
            case NOT_SENT -> failure(ErrorKind.RESIDENCY_UNREACHABLE, e);
            case ENDED_BY_PEER -> failure(kindOf(e.errorKind()), e);
            case BROKEN -> failure(ErrorKind.ENDPOINT_FAILED, e);
            case TIMED_OUT -> failure(ErrorKind.TIMED_OUT, e);
        };
    }

    /** Maps a failure that occurred after the response head was received: the request ran at least partly. */
    static RequestFailedException duringResponse(PeerCallException e) {
        ErrorKind reported = kindOf(e.errorKind());
        return failure(reported == ErrorKind.KEY_WITHDRAWN ? reported : ErrorKind.ANSWER_INCOMPLETE, e);
    }

    static RequestFailedException interrupted(InterruptedException e) {
        return new RequestFailedException(ErrorKind.ANSWER_INCOMPLETE, "interrupted", e);
    }

    private static RequestFailedException failure(ErrorKind kind, PeerCallException e) {
        Duration retryAfter = e.retryAfterMillis() > 0 ? Duration.ofMillis(e.retryAfterMillis()) : null;
        return new RequestFailedException(kind, e.getMessage(), retryAfter, e);
    }

    /**
     * Returns the error kind named by a peer. A kind unknown to this version maps to {@link ErrorKind#INTERNAL}, which
     * does not state whether the request ran.
     */
    private static ErrorKind kindOf(String name) {
        return Arrays.stream(ErrorKind.values())
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElse(ErrorKind.INTERNAL);
    }
}
