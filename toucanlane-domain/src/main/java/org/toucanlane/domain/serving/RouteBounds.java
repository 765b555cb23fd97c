package org.toucanlane.domain.serving;

import java.time.Duration;

/**
 * What all routes to one service ask of it together.
 *
 * @param highestPriority smallest priority of a route; 0 is the most urgent there can be
 * @param minLatencyObjective shortest time within which an answer has its full value
 */
public record RouteBounds(int highestPriority, Duration minLatencyObjective) {

    /** Bounds of a service without routes. */
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
