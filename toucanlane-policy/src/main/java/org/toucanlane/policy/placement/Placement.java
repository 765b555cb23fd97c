package org.toucanlane.policy.placement;

/**
 * A chosen endpoint.
 *
 * @param id its name
 * @param estimateMillis time until its answer is expected to begin
 * @param newTokens prompt tokens that it is expected to read
 */
public record Placement(String id, double estimateMillis, long newTokens) {}
