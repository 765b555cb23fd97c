package org.toucanlane.edge.http;

import java.time.Duration;

/**
 * How connections to one address are made and kept.
 *
 * @param connectTimeout longest time to establish a connection
 * @param idleTime how long a connection without a request is kept when the other side names no time
 * @param maxConnections connections at once
 * @param maxHeaderBytes longest head of an answer
 */
public record PoolSettings(Duration connectTimeout, Duration idleTime, int maxConnections, int maxHeaderBytes) {}
