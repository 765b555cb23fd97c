package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.route.Idempotency;
import org.toucanlane.domain.route.Route;

/**
 * A caller's request after authentication. Holds no key.
 *
 * @param id unique id
 * @param account the account that it runs for
 * @param keyId public part of the key that came with it; empty on an open route without a key
 * @param route the route that it takes
 * @param method HTTP method
 * @param path path and query at the endpoint
 * @param contentType type of the body; may be empty
 * @param accept types that the caller takes; may be empty
 * @param body the body; must not be changed
 * @param tokens bound on the tokens that it may use
 * @param affinity start of the prompt, hashed; empty if it has none
 * @param streamed whether the answer is a stream of events with an end marker
 * @param allowedDataCentres where it may run
 * @param idempotencyKey the caller's key for repeats
 * @param deadlineNanos when its answer must have started, by this process's monotonic clock
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

    /** Returns whether the request may be sent again after it may have run. */
    public boolean isRepeatable() {
        return idempotency().isRetryable();
    }

    /** Returns the idempotency of the method on the route. */
    public Idempotency idempotency() {
        return route.idempotencyOf(method).orElse(Idempotency.NON_IDEMPOTENT);
    }

    /** Returns the time left until the deadline, zero if it has passed. */
    public Duration timeLeft() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - System.nanoTime()));
    }
}
