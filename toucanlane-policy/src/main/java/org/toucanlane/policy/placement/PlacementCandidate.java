package org.toucanlane.policy.placement;

/**
 * An endpoint that a request may be sent to.
 *
 * @param load load of the endpoint
 * @param cachedTokens prompt tokens that are assumed to be in its prefix cache
 */
public record PlacementCandidate(EndpointLoad load, long cachedTokens) {}
