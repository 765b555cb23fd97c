package org.toucanlane.platform.hostlist;

/**
 * An entry of the platform's host list, which may be stale.
 *
 * @param name name of the host
 * @param dataCentre name of its data centre
 * @param leaving whether the platform is decommissioning it
 * @param callerAddress base URL for callers
 * @param peerAddress {@code host:port} address for peers
 */
public record ListedHost(String name, String dataCentre, boolean leaving, String callerAddress, String peerAddress) {}
