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
import org.toucanlane.domain.route.Idempotency;
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
 * Asks the endpoints of this data centre for their load and passes it on with this host's heartbeats.
 *
 * <p>Each endpoint is asked by one of the hosts of its data centre, so that the work does not grow with the hosts.
 * Thread-safe.
 */
@Singleton
public final class LoadReports {

    private static final Duration PATIENCE = Duration.ofMillis(800);
    private static final int OK = 200;
    private static final int MAX_REPORT_BYTES = 4 * 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String host;
    private final String dataCentre;
    private final EndpointPools pools;
    private final EndpointClient client;
    private final PeerHub peers;
    private final Map<String, EndpointLoad> observed = new ConcurrentHashMap<>();

    /** Creates reports that are empty until the first round. */
    @Inject
    public LoadReports(GatewaySettings settings, EndpointPools pools, EndpointClient client, PeerHub peers) {
        this.host = settings.host();
        this.dataCentre = settings.dataCentre();
        this.pools = pools;
        this.client = client;
        this.peers = peers;
    }

    /** Returns what this host's own questions brought last. */
    public List<EndpointLoad> observed() {
        return List.copyOf(observed.values());
    }

    /** Asks each endpoint that falls to this host. */
    public void refresh() {
        List<String> hosts = Stream.concat(
                        Stream.of(host),
                        peers.membership().takingWork(dataCentre).stream().map(Member::host))
                .distinct()
                .toList();
        List<EndpointState> mine = pools.local().stream()
                .filter(state -> RendezvousHash.pick(state.endpoint().name(), hosts)
                        .filter(host::equals)
                        .isPresent())
                .toList();
        observed.keySet()
                .removeIf(name ->
                        mine.stream().noneMatch(state -> state.endpoint().name().equals(name)));
        mine.forEach(this::ask);
        pools.refreshLimits();
    }

    private void ask(EndpointState state) {
        String name = state.endpoint().name();
        EngineLoad load;
        try {
            load = read(state);
        } catch (EndpointException | IOException e) {
            load = new EngineLoad(state.believedRunning(), 0, false);
        }
        int running = load.running() + load.waiting();
        state.reported(running, load.available());
        observed.put(
                name,
                EndpointLoad.newBuilder()
                        .setEndpoint(name)
                        .setRunning(running)
                        .setAvailable(load.available())
                        .build());
    }

    private EngineLoad read(EndpointState state) throws EndpointException, IOException {
        EndpointRequest request = new EndpointRequest(
                "load",
                "GET",
                URI.create(state.endpoint().address() + "/load"),
                "",
                "application/json",
                new byte[0],
                Idempotency.IDEMPOTENT,
                PATIENCE);
        try (EndpointResponse answer = client.send(request)) {
            byte[] buffer = new byte[MAX_REPORT_BYTES];
            StringBuilder text = new StringBuilder();
            int count = answer.read(buffer);
            while (count >= 0 && text.length() < MAX_REPORT_BYTES) {
                text.append(new String(buffer, 0, count, StandardCharsets.UTF_8));
                count = answer.read(buffer);
            }
            if (answer.status() != OK) {
                throw new IOException("the load was answered with " + answer.status());
            }
            return JSON.readValue(text.toString(), EngineLoad.class);
        }
    }
}
