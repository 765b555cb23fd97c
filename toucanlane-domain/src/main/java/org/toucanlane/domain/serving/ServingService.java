package org.toucanlane.domain.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * A service that requests are sent to.
 *
 * @param name unique name
 * @param healthPath path of its health check
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldStartDuration how long an endpoint stays cold after its start
 * @param coldStartRequestsPerSecond requests that a cold endpoint bears, from all hosts together; 0 for no bound
 * @param engineCapacity what is known of its engines, or empty for a plain service
 */
public record ServingService(
        String name,
        String healthPath,
        int maxConnections,
        Duration coldStartDuration,
        double coldStartRequestsPerSecond,
        Optional<EngineCapacity> engineCapacity) {}
