package org.toucanlane.policy.placement;

/**
 * A chosen endpoint.
 *
 * @param endpoint its name
 * @param estimateMillis time until its answer is expected to begin
 * @param waitMillis part of it that is due to other requests
 * @param newTokens prompt tokens that it is expected to read
 */
public record Placement(String endpoint, double estimateMillis, double waitMillis, long newTokens) {}
