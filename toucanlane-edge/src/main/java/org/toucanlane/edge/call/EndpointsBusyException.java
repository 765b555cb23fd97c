package org.toucanlane.edge.call;

import java.util.Optional;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.policy.queue.PlaceEstimate;

/** Thrown if a request can't be sent now because the wait at the best endpoint for it is too long. */
final class EndpointsBusyException extends CallRefusedException {

    private static final long serialVersionUID = 1;

    private final transient PlaceEstimate estimate;

    EndpointsBusyException(PlaceEstimate estimate, String detail) {
        super(ErrorKind.OVERLOADED, estimate.retryAfter(), detail);
        this.estimate = estimate;
    }

    /** Returns when the request is expected to be sent if it waits. */
    PlaceEstimate estimate() {
        return estimate;
    }

    @Override
    Optional<PlaceEstimate> placeEstimate() {
        return Optional.of(estimate);
    }
}
