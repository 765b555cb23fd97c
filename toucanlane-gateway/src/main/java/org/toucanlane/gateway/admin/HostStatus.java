package org.toucanlane.gateway.admin;

import java.util.List;
import java.util.Map;

/**
 * The status of a host as reported to operators. Written to JSON.
 *
 * @param host name of the host
 * @param dataCentre data centre of the host
 * @param incarnation number that identifies the process
 * @param phase phase of the process, such as serving or draining
 * @param configurationVersion version of the active configuration, or 0 if there is none
 * @param running number of requests in progress
 * @param peers the other hosts, as this host sees them
 * @param endpoints the endpoints of its data centre, as this host sees them
 * @param freeTokens available tokens of the shares that it holds, by account
 */
public record HostStatus(
        String host,
        String dataCentre,
        long incarnation,
        String phase,
        long configurationVersion,
        int running,
        List<PeerStatus> peers,
        List<EndpointStatus> endpoints,
        Map<String, Long> freeTokens) {

    /** The state of another host. */
    public record PeerStatus(String host, String dataCentre, String state, long configurationVersion) {}

    /** The load and availability of an endpoint. */
    public record EndpointStatus(String endpoint, int capacity, int ownRunning, int othersRunning, boolean available) {}
}
