package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Values sent to an endpoint in addition to the caller's own headers.
 *
 * @param endpoint id of the intended endpoint; any other endpoint refuses the request
 * @param timeLeft time within which the response must arrive
 * @param account client account of the request, if any
 * @param lastEventId id of the last event that the caller has received, if a stream is resumed
 * @param level priority level among the requests queued at the endpoint, from {@code EnginePriority}; 0 is the first;
 *     empty if the endpoint is not a model engine
 */
public record EndpointRequest(
        String endpoint,
        Duration timeLeft,
        Optional<String> account,
        Optional<String> lastEventId,
        OptionalInt level) {}
