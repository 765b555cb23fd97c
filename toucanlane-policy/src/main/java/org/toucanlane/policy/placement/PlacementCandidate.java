package org.toucanlane.policy.placement;

/**
 * An endpoint that a request may be sent to.
 *
 * @param load its load
 * @param cachedTokens prompt tokens that it is believed to keep
 */
public record PlacementCandidate(EndpointLoad load, long cachedTokens) {}
