package org.toucanlane.edge.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.toucanlane.edge.fleet.HostRecord;

/**
 * The settings of a host.
 *
 * @param self the record that the host publishes about itself
 * @param regionOfDataCentre region names by data centre name
 * @param callerAddress listen address for callers
 * @param keyRevocationTime time within which a revoked key must stop working on all hosts
 * @param gracePeriod time between the stop signal and the end of the process
 * @param retryRatio retries per request that all hosts together may send
 * @param extraRetries additional retries per window that all hosts together may send
 * @param maxChannels number of channels that the process may have open
 */
public record HostSettings(
        HostRecord self,
        Map<String, String> regionOfDataCentre,
        InetSocketAddress callerAddress,
        Duration keyRevocationTime,
        Duration gracePeriod,
        double retryRatio,
        int extraRetries,
        int maxChannels) {

    /** Copies {@code regionOfDataCentre}. */
    public HostSettings {
        regionOfDataCentre = Map.copyOf(regionOfDataCentre);
    }
}
