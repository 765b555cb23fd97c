package org.toucanlane.edge.fleet;

/**
 * A part of a prompt that an engine may keep in memory.
 *
 * @param id name of the part, the same for all requests that share it
 * @param tokens its length
 */
public record PromptSegment(String id, long tokens) {}
