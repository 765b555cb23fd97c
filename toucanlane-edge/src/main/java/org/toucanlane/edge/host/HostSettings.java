package org.toucanlane.edge.host;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.toucanlane.edge.fleet.HostRecord;

/**
 * What a host is told at its start.
 *
 * @param self what it tells other hosts of itself
 * @param regionOfDataCentre regions by the names of their data centres
 * @param callerAddress address for callers
 * @param keyRevocationTime time after which a withdrawn key must not work anywhere
 * @param gracePeriod time between the request to stop and the end of the process
 * @param retryRatio repeats that all hosts together may send for each request
 * @param extraRetries repeats that all hosts together may send beyond that in one window
 */
public record HostSettings(
        HostRecord self,
        Map<String, String> regionOfDataCentre,
        InetSocketAddress callerAddress,
        Duration keyRevocationTime,
        Duration gracePeriod,
        double retryRatio,
        int extraRetries) {

    /** Creates settings. */
    public HostSettings {
        regionOfDataCentre = Map.copyOf(regionOfDataCentre);
    }
}
