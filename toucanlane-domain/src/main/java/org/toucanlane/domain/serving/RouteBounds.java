package org.toucanlane.domain.serving;

import java.time.Duration;

/**
 * The strictest priority and latency objective over all routes to one service.
 *
 * @param highestPriority smallest priority value of any route; 0 is the most urgent
 * @param minLatencyObjective shortest latency objective of any route
 */
public record RouteBounds(int highestPriority, Duration minLatencyObjective) {

    /** The bounds of a service without routes. */
    public static final RouteBounds NONE = new RouteBounds(0, Duration.ofDays(1));

    static RouteBounds of(ServingRoute route) {
        return new RouteBounds(route.priority().orElse(0), route.latencyObjective());
    }

    RouteBounds merge(RouteBounds other) {
        return new RouteBounds(
                Math.min(highestPriority, other.highestPriority),
                minLatencyObjective.compareTo(other.minLatencyObjective) < 0
                        ? minLatencyObjective
                        : other.minLatencyObjective);
    }
}
