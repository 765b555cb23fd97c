package org.toucanlane.coordination.share;

/**
 * The part of an account's limit that one host holds.
 *
 * @param host name of the holder
 * @param dataCentre the holder's data centre
 * @param limit the part it holds
 */
public record HostShare(String host, String dataCentre, ShareLimit limit) {}
