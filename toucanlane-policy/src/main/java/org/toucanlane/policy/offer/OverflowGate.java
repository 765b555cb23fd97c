package org.toucanlane.policy.offer;

import java.time.Duration;

/**
 * Decides whether requests for one service may leave their region.
 *
 * <p>Load pattern: a wait that swings around the point at which another region becomes attractive. Overflow begins while
 * the wait is a fraction of the objective, so that requests that hop are still on time, and goes on until the wait is
 * well below it, so that the region recovers instead of alternating. Not thread-safe.
 */
public final class OverflowGate {

    /** Fraction of the objective at which overflow begins; what is left covers the hop and the wait there. */
    static final double BEGIN_FRACTION = 0.25;

    /** Fraction of the objective at which overflow ends. */
    static final double END_FRACTION = 0.125;

    private boolean open;

    /**
     * Updates the decision.
     *
     * @param waitMillis time that a request would wait for others at the best endpoint of its region
     * @param objective shortest latency objective of the service
     * @return whether requests may leave the region
     */
    public boolean update(double waitMillis, Duration objective) {
        double fraction = open ? END_FRACTION : BEGIN_FRACTION;
        open = waitMillis >= fraction * objective.toMillis();
        return open;
    }
}
