package org.toucanlane.platform.endpoint;

import java.net.URI;
import java.time.Duration;

/**
 * A request to an endpoint. Nothing else from the caller's request is forwarded.
 *
 * @param requestId request id, for the endpoint's logs
 * @param method HTTP method
 * @param address full URL
 * @param contentType content type of the body; empty if there is none
 * @param accept content types that the caller accepts; empty if not specified
 * @param body request body; must not be modified
 * @param responseTimeout maximum wait for the response head, and for each further chunk of the body
 */
public record EndpointRequest(
        String requestId,
        String method,
        URI address,
        String contentType,
        String accept,
        byte[] body,
        Duration responseTimeout) {}
