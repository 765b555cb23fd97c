package org.toucanlane.edge.fleet;

/**
 * What one or more hosts have running on an endpoint, and what they think of it.
 *
 * @param running requests
 * @param pendingTokens prompt tokens of those that have not had their first token
 * @param usedTokens tokens that they keep in memory
 * @param usable whether all of them send requests there
 * @param slowness how much longer answers took than estimated, on average over the hosts
 * @param hosts how many hosts are counted
 */
public record EndpointUsage(
        int running, long pendingTokens, long usedTokens, boolean usable, double slowness, int hosts) {

    /** Nothing running, of no host. */
    public static final EndpointUsage NONE = new EndpointUsage(0, 0, 0, true, 1, 0);

    /** Returns the sum of both. */
    public EndpointUsage plus(EndpointUsage other) {
        int all = hosts + other.hosts;
        double weighted = slowness * hosts + other.slowness * other.hosts;
        return new EndpointUsage(
                running + other.running,
                pendingTokens + other.pendingTokens,
                usedTokens + other.usedTokens,
                usable && other.usable,
                all == 0 ? 1 : weighted / all,
                all);
    }

    /** Returns what is left without {@code part}, which was counted in this; opinions stay as they are. */
    public EndpointUsage minus(EndpointUsage part) {
        return new EndpointUsage(
                Math.max(0, running - part.running),
                Math.max(0, pendingTokens - part.pendingTokens),
                Math.max(0, usedTokens - part.usedTokens),
                usable,
                slowness,
                hosts);
    }

    /** Returns whether there is anything to tell of. */
    public boolean isBusy() {
        return running > 0 || !usable;
    }
}
