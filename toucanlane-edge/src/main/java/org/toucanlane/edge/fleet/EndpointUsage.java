package org.toucanlane.edge.fleet;

/**
 * The load that one or more hosts place on an endpoint, and their view of its health.
 *
 * @param running number of running requests
 * @param pendingTokens prompt tokens still to be processed, of requests without a first token
 * @param usedTokens tokens that the requests hold in the endpoint's memory
 * @param usable whether all counted hosts consider the endpoint usable
 * @param slowness ratio of observed to estimated latency, averaged over the hosts
 * @param hosts number of hosts counted
 */
public record EndpointUsage(
        int running, long pendingTokens, long usedTokens, boolean usable, double slowness, int hosts) {

    /** No load, from no host. */
    public static final EndpointUsage NONE = new EndpointUsage(0, 0, 0, true, 1, 0);

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
                totalHosts);
    }

    /** Subtracts the load of {@code part}, which is included in this usage; health and host count are unchanged. */
    public EndpointUsage minus(EndpointUsage part) {
        return new EndpointUsage(
                Math.max(0, running - part.running),
                Math.max(0, pendingTokens - part.pendingTokens),
                Math.max(0, usedTokens - part.usedTokens),
                usable,
                slowness,
                hosts);
    }

    /** Returns whether the endpoint has requests or is unusable, and so is worth reporting. */
    public boolean isBusy() {
        return running > 0 || !usable;
    }
}
