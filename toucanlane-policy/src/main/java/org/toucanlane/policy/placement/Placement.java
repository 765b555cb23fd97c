package org.toucanlane.policy.placement;

/**
 * The endpoint that a request is placed at, with the estimates for it.
 *
 * @param endpoint name of the endpoint
 * @param estimateMillis estimated time to the first response, in milliseconds
 * @param waitMillis part of the estimate that is caused by other requests, in milliseconds
 * @param costMillis cost by which placements are compared, in milliseconds: the estimate, the work that the engine does
 *     for the request, and penalties
 * @param newTokens prompt tokens that the endpoint is expected to prefill
 */
public record Placement(String endpoint, double estimateMillis, double waitMillis, double costMillis, long newTokens) {}
