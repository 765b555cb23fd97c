package org.toucanlane.edge.fleet;

/**
 * What another host has running on an endpoint, and what it thinks of it.
 *
 * @param running requests
 * @param pendingTokens prompt tokens of those that have not had their first token
 * @param usedTokens tokens that they keep in memory
 * @param usable whether it sends requests there
 * @param slowness how much longer answers took than estimated
 */
public record RemoteLoad(int running, long pendingTokens, long usedTokens, boolean usable, double slowness) {}
