package org.toucanlane.platform.endpoint;

import java.net.URI;
import java.time.Duration;
import org.toucanlane.domain.route.Idempotency;

/**
 * A request as it is sent to an endpoint. Carries nothing of the caller but what is listed here.
 *
 * @param requestId id of the request, for the endpoint's logs
 * @param method HTTP method
 * @param address full address
 * @param contentType type of the body; empty if there is none
 * @param accept types that the caller takes; empty if it did not say
 * @param body the body; must not be changed
 * @param idempotency whether it may be sent on a connection that may have gone stale
 * @param responseTimeout longest wait for the head of the answer, and between two of its pieces
 */
public record EndpointRequest(
        String requestId,
        String method,
        URI address,
        String contentType,
        String accept,
        byte[] body,
        Idempotency idempotency,
        Duration responseTimeout) {}
