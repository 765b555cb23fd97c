package org.toucanlane.gateway.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.coordination.membership.Member;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.dispatch.EndpointState;
import org.toucanlane.platform.endpoint.EndpointClient;
import org.toucanlane.platform.endpoint.EndpointException;
import org.toucanlane.platform.endpoint.EndpointRequest;
import org.toucanlane.platform.endpoint.EndpointResponse;
import org.toucanlane.platform.endpoint.EngineLoad;
import org.toucanlane.wire.proto.EndpointLoad;

/**
 * Polls the load of the endpoints in the local data centre, to be sent to other hosts with heartbeats.
 *
 * <p>Each endpoint is polled by one host of its data centre, so that the polling load on an endpoint does not grow with
 * the number of hosts. Thread-safe.
 */
@Singleton
public final class EndpointLoadMonitor {

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(800);
    private static final int HTTP_OK = 200;
    private static final int MAX_REPORT_BYTES = 4 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String host;
    private final String dataCentre;
    private final EndpointPools pools;
    private final EndpointClient client;
    private final PeerRegistry peers;
    private final Map<String, EndpointLoad> latestLoads = new ConcurrentHashMap<>();

    /** Creates a monitor without loads. */
    @Inject
    public EndpointLoadMonitor(
            GatewaySettings settings, EndpointPools pools, EndpointClient client, PeerRegistry peers) {
        this.host = settings.host();
        this.dataCentre = settings.dataCentre();
        this.pools = pools;
        this.client = client;
        this.peers = peers;
    }

    /** Returns the latest load of each endpoint that this host polls. */
    public List<EndpointLoad> latestLoads() {
        return List.copyOf(latestLoads.values());
    }

    /** Polls the endpoints assigned to this host and updates the queue limits. */
    public void refresh() {
        List<String> hosts = Stream.concat(
                        Stream.of(host),
                        peers.membership().membersAcceptingWork(dataCentre).stream()
                                .map(Member::host))
                .distinct()
                .toList();
        List<EndpointState> assigned = pools.localEndpoints().stream()
                .filter(state -> RendezvousHash.pick(state.endpoint().name(), hosts)
                        .filter(host::equals)
                        .isPresent())
                .toList();
        latestLoads
                .keySet()
                .removeIf(name -> assigned.stream()
                        .noneMatch(state -> state.endpoint().name().equals(name)));
        assigned.forEach(this::poll);
        pools.refreshLimits();
    }

    private void poll(EndpointState state) {
        String name = state.endpoint().name();
        EngineLoad load;
        try {
            load = fetchLoad(state);
        } catch (EndpointException | IOException e) {
            load = new EngineLoad(state.estimatedRunning(), 0, false);
        }
        int running = load.running() + load.waiting();
        state.recordLoad(running, load.available());
        latestLoads.put(
                name,
                EndpointLoad.newBuilder()
                        .setEndpoint(name)
                        .setRunning(running)
                        .setAvailable(load.available())
                        .build());
    }

    private EngineLoad fetchLoad(EndpointState state) throws EndpointException, IOException {
        EndpointRequest request = new EndpointRequest(
                "load",
                "GET",
                URI.create(state.endpoint().address() + "/load"),
                "",
                "application/json",
                new byte[0],
                REQUEST_TIMEOUT);
        try (EndpointResponse response = client.send(request)) {
            byte[] buffer = new byte[MAX_REPORT_BYTES];
            StringBuilder text = new StringBuilder();
            int count = response.read(buffer);
            while (count >= 0 && text.length() < MAX_REPORT_BYTES) {
                text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                count = response.read(buffer);
            }
            if (response.status() != HTTP_OK) {
                throw new IOException("load request was answered with HTTP status " + response.status());
            }
            return JSON.readValue(text.toString(), EngineLoad.class);
        }
    }
}
