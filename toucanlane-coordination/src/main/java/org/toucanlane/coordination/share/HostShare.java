package org.toucanlane.coordination.share;

/**
 * The part of an account's limit that one host holds.
 *
 * @param host name of the host
 * @param dataCentre data centre of the host
 * @param limit the host's part of the limit
 */
public record HostShare(String host, String dataCentre, ShareLimit limit) {}
