package org.toucanlane.domain.serving;

import com.google.common.collect.Ordering;
import java.time.Duration;

/**
 * The ranges of the priorities and latency objectives over all routes to one service. Immutable.
 *
 * @param highestPriority smallest priority value of any route; 0 is the most urgent
 * @param lowestPriority largest priority value of any route
 * @param minLatencyObjective shortest latency objective of any route
 * @param maxLatencyObjective longest latency objective of any route
 */
public record RouteBounds(
        int highestPriority, int lowestPriority, Duration minLatencyObjective, Duration maxLatencyObjective) {

    /** The bounds of a service without routes. */
    public static final RouteBounds NONE = new RouteBounds(0, Duration.ofDays(1));

    /** Factor between two objectives from which requests with the longer one can let those with the shorter one pass. */
    private static final int PATIENCE_FACTOR = 2;

    /** Creates the bounds of a service whose routes have the same priority and objective. */
    public RouteBounds(int priority, Duration latencyObjective) {
        this(priority, priority, latencyObjective, latencyObjective);
    }

    static RouteBounds of(ServingRoute route) {
        return new RouteBounds(route.priority().orElse(0), route.latencyObjective());
    }

    /**
     * Returns whether urgent and patient routes share the service: their priorities differ, and the longest objective is
     * at least twice the shortest.
     */
    public boolean mixesUrgentAndPatient() {
        return lowestPriority > highestPriority
                && maxLatencyObjective.compareTo(minLatencyObjective.multipliedBy(PATIENCE_FACTOR)) >= 0;
    }

    RouteBounds merge(RouteBounds other) {
        return new RouteBounds(
                Math.min(highestPriority, other.highestPriority),
                Math.max(lowestPriority, other.lowestPriority),
                Ordering.natural().min(minLatencyObjective, other.minLatencyObjective),
                Ordering.natural().max(maxLatencyObjective, other.maxLatencyObjective));
    }
}
