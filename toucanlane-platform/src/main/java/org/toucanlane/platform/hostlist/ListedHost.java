package org.toucanlane.platform.hostlist;

/**
 * An entry of the platform's list, which lags behind.
 *
 * @param name name of the host
 * @param dataCentre its data centre
 * @param leaving whether the platform is taking it out of service
 * @param callerAddress base address for callers
 * @param peerAddress {@code host:port} for peers
 */
public record ListedHost(String name, String dataCentre, boolean leaving, String callerAddress, String peerAddress) {}
