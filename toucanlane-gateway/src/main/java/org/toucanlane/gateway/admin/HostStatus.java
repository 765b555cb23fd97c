package org.toucanlane.gateway.admin;

import java.util.List;
import java.util.Map;

/**
 * What a host says of itself to operators.
 *
 * @param host its name
 * @param dataCentre its data centre
 * @param incarnation number of its process
 * @param phase whether it takes work
 * @param configurationVersion version of the configuration in force, 0 if none
 * @param running requests that it works on
 * @param peers how it sees the other hosts
 * @param endpoints how it sees the endpoints of its data centre
 * @param freeTokens free tokens of the shares that it holds, by account
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

    /** Another host. */
    public record PeerStatus(String host, String dataCentre, String state, long configurationVersion) {}

    /** An endpoint. */
    public record EndpointStatus(String endpoint, int capacity, int ownRunning, int othersRunning, boolean available) {}
}
