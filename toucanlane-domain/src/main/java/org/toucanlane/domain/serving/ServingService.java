package org.toucanlane.domain.serving;

import java.time.Duration;
import java.util.Optional;

/**
 * A service whose endpoints serve requests.
 *
 * @param name unique name
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections to one endpoint, from all clients together
 * @param coldStartDuration how long an endpoint is treated as cold after its start
 * @param coldStartRequestsPerSecond rate limit of a cold endpoint, over all hosts; 0 for no limit
 * @param engineCapacity capacity of each of its model engines; empty for a plain service
 */
public record ServingService(
        String name,
        String healthPath,
        int maxConnections,
        Duration coldStartDuration,
        double coldStartRequestsPerSecond,
        Optional<EngineCapacity> engineCapacity) {}
