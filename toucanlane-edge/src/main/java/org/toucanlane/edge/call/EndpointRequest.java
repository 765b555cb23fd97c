package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an endpoint is told beside the caller's own headers.
 *
 * @param endpoint the endpoint that is meant; any other refuses
 * @param timeLeft how long the answer is waited for
 * @param account client account that the request is for, if any
 * @param lastEventId id of the last event that the caller has, if a stream goes on
 * @param level its place among the requests that wait there, from {@code EngineOrder}; 0 is the first;
 *     empty where it is not an engine
 */
public record EndpointRequest(
        String endpoint,
        Duration timeLeft,
        Optional<String> account,
        Optional<String> lastEventId,
        OptionalInt level) {}
