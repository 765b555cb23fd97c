package org.toucanlane.policy.placement;

/**
 * An endpoint that a request may be sent to.
 *
 * @param load load of the endpoint
 * @param cachedTokens prompt tokens that are assumed to be in its prefix cache
 * @param misplacement how much the request should go to the other part of the service's engines instead, from 0 to 1
 * @param distanceMillis cost of reaching the endpoint, in milliseconds
 */
public record PlacementCandidate(EndpointLoad load, long cachedTokens, double misplacement, double distanceMillis) {}
