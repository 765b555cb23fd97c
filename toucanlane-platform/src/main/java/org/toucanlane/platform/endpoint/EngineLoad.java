package org.toucanlane.platform.endpoint;

/**
 * The load that an engine reports about itself; may be stale when received.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param available whether it accepts new requests
 */
public record EngineLoad(int running, int waiting, boolean available) {}
