package org.toucanlane.platform.endpoint;

/**
 * What an engine says of its own load, some time after it was true.
 *
 * @param running requests that it works on
 * @param waiting requests that wait in it
 * @param available whether it takes new requests
 */
public record EngineLoad(int running, int waiting, boolean available) {}
