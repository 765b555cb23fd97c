package org.toucanlane.edge.fleet;

/**
 * What another host has running on an endpoint.
 *
 * @param running requests
 * @param pendingTokens prompt tokens of those that have not had their first token
 * @param usedTokens tokens that they keep in memory
 */
public record RemoteLoad(int running, long pendingTokens, long usedTokens) {}
