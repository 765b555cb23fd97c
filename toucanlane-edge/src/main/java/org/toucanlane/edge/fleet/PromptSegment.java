package org.toucanlane.edge.fleet;

/**
 * A segment of a prompt whose key-value cache an engine may retain between requests.
 *
 * @param id identifier of the segment, equal for all requests that share it
 * @param tokens length of the segment in tokens
 */
public record PromptSegment(String id, long tokens) {}
