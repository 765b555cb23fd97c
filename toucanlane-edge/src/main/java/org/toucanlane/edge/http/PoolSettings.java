package org.toucanlane.edge.http;

import java.time.Duration;

/**
 * Settings of a connection pool for one address.
 *
 * @param connectTimeout connect timeout
 * @param idleTime time after which an idle connection is no longer reused, if the server advertises none
 * @param maxConnections maximum number of open connections
 * @param maxHeaderBytes maximum size of the response headers
 */
public record PoolSettings(Duration connectTimeout, Duration idleTime, int maxConnections, int maxHeaderBytes) {}
