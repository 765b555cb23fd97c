package org.toucanlane.domain.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * A service that requests are sent to.
 *
 * @param name unique name
 * @param healthPath path of its health check
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldTime how long an endpoint stays cold after its start
 * @param coldRequestsPerSecond requests that a cold endpoint bears, from all hosts together; 0 for no bound
 * @param engine what is known of its engines, or empty for a plain service
 */
public record ServingService(
        String name,
        String healthPath,
        int maxConnections,
        Duration coldTime,
        double coldRequestsPerSecond,
        Optional<EngineProfile> engine) {}
