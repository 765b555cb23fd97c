package org.toucanlane.edge.fleet;

import org.toucanlane.policy.capacity.SpeedEstimate;

/**
 * The load that one or more hosts place on an endpoint, and their view of its health.
 *
 * @param running number of running requests
 * @param pendingTokens prompt tokens still to be processed, of requests without a first token
 * @param usedTokens tokens that the requests hold in the endpoint's memory
 * @param usable whether all counted hosts consider the endpoint usable
 * @param slowness short-lived ratio of observed to estimated latency, averaged over the hosts
 * @param hosts number of hosts counted
 * @param speed what the hosts measured of the endpoint's speed
 */
public record EndpointUsage(
        int running,
        long pendingTokens,
        long usedTokens,
        boolean usable,
        double slowness,
        int hosts,
        SpeedEstimate speed) {

    /** No load, from no host. */
    public static final EndpointUsage NONE = new EndpointUsage(0, 0, 0, true, 1, 0);

    /** Creates a usage without a measured speed. */
    public EndpointUsage(int running, long pendingTokens, long usedTokens, boolean usable, double slowness, int hosts) {
        this(running, pendingTokens, usedTokens, usable, slowness, hosts, SpeedEstimate.NONE);
    }

    /** Returns the combined usage; slowness is averaged by the number of hosts. */
    public EndpointUsage plus(EndpointUsage other) {
        int totalHosts = hosts + other.hosts;
        double weighted = slowness * hosts + other.slowness * other.hosts;
        return new EndpointUsage(
                running + other.running,
                pendingTokens + other.pendingTokens,
                usedTokens + other.usedTokens,
                usable && other.usable,
                totalHosts == 0 ? 1 : weighted / totalHosts,
                totalHosts,
                speed.plus(other.speed));
    }

    /** Subtracts the load and the measurements of {@code part}, which are included in this usage; health and host count are unchanged. */
    public EndpointUsage minus(EndpointUsage part) {
        return new EndpointUsage(
                Math.max(0, running - part.running),
                Math.max(0, pendingTokens - part.pendingTokens),
                Math.max(0, usedTokens - part.usedTokens),
                usable,
                slowness,
                hosts,
                speed.minus(part.speed));
    }

    /** Returns whether the endpoint has requests or is unusable, and so is worth reporting. */
    public boolean isBusy() {
        return running > 0 || !usable;
    }
}
