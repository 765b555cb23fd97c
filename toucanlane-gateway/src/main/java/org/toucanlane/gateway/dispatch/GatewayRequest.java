package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.route.Idempotency;
import org.toucanlane.domain.route.Route;

/**
 * An authenticated request of a caller. Does not contain the API key.
 *
 * @param id unique id
 * @param account the account on whose behalf it runs
 * @param keyId public part of the API key; empty if the route is open and no key was presented
 * @param route the route that it matched
 * @param method HTTP method
 * @param path path and query at the endpoint
 * @param contentType content type of the body; may be empty
 * @param accept content types that the caller accepts; may be empty
 * @param body the body; must not be modified
 * @param tokens upper bound on the tokens that it may use
 * @param affinity hash of the start of the prompt; empty if there is none
 * @param streamed whether the response is an event stream with an end marker
 * @param allowedDataCentres data centres in which it may run
 * @param idempotencyKey the caller's idempotency key
 * @param deadlineNanos time by which the response must have started, as {@link System#nanoTime}
 */
public record GatewayRequest(
        String id,
        ClientAccount account,
        String keyId,
        Route route,
        String method,
        String path,
        String contentType,
        String accept,
        byte[] body,
        long tokens,
        String affinity,
        boolean streamed,
        Set<String> allowedDataCentres,
        Optional<String> idempotencyKey,
        long deadlineNanos) {

    /** Returns whether the request may be retried even if it may already have run. */
    public boolean isRepeatable() {
        return idempotency().isRetryable();
    }

    /** Returns the idempotency of the method on the route. */
    public Idempotency idempotency() {
        return route.idempotencyOf(method).orElse(Idempotency.NON_IDEMPOTENT);
    }

    /** Returns the time remaining until the deadline, or zero if it has passed. */
    public Duration remainingTime() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }
}
