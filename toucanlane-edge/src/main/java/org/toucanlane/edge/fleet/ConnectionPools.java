package org.toucanlane.edge.fleet;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.toucanlane.domain.serving.EndpointRegistration;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.http.ChannelPool;
import org.toucanlane.edge.http.PoolSettings;
import org.toucanlane.edge.telemetry.ResponseFaultLog;

/** Creates the pools of connections to endpoints and to other hosts. Immutable and thread-safe. */
final class ConnectionPools {

    /** Connecting within a region takes about one millisecond; a much longer attempt means that a packet was lost. */
    private static final Duration ENDPOINT_CONNECT_TIMEOUT = Duration.ofMillis(700);

    /** Connecting across regions takes one round trip of up to a few hundred milliseconds. */
    private static final Duration HOST_CONNECT_TIMEOUT = Duration.ofMillis(900);

    /** Idle timeout for endpoints that specify none; below the five seconds that are common for servers. */
    private static final Duration ENDPOINT_IDLE_TIMEOUT = Duration.ofSeconds(3);

    /** Idle timeout for connections to other hosts; below the timeout after which the accepting host closes them. */
    private static final Duration HOST_IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** Connections to one other host; exceeds the number of concurrent requests that a host can handle. */
    private static final int MAX_HOST_CONNECTIONS = 600;

    /** Connections to an endpoint whose service sets no limit. */
    private static final int DEFAULT_MAX_ENDPOINT_CONNECTIONS = 256;

    private static final int MAX_HEADER_BYTES = 32 << 10;

    private final EventLoop loop;
    private final ResponseFaultLog responseFaults;

    /**
     * Creates a factory of pools.
     *
     * @param loop event loop of all connections
     * @param responseFaults receives the faults in the responses on all connections
     */
    ConnectionPools(EventLoop loop, ResponseFaultLog responseFaults) {
        this.loop = loop;
        this.responseFaults = responseFaults;
    }

    /** Creates a pool for an endpoint of {@code service}, which is empty if the configuration doesn't contain it. */
    ChannelPool forEndpoint(EndpointRegistration entry, Optional<ServingService> service) {
        int connections = service.map(ServingService::maxConnections)
                .filter(bound -> bound > 0)
                .orElse(DEFAULT_MAX_ENDPOINT_CONNECTIONS);
        return new ChannelPool(
                new InetSocketAddress(entry.address(), entry.port()),
                loop,
                new PoolSettings(ENDPOINT_CONNECT_TIMEOUT, ENDPOINT_IDLE_TIMEOUT, connections, MAX_HEADER_BYTES),
                responseFaults.forServer(entry.id()));
    }

    /** Creates a pool for another host. */
    ChannelPool forHost(HostRecord host) {
        return new ChannelPool(
                new InetSocketAddress(host.address(), host.hopPort()),
                loop,
                new PoolSettings(HOST_CONNECT_TIMEOUT, HOST_IDLE_TIMEOUT, MAX_HOST_CONNECTIONS, MAX_HEADER_BYTES),
                responseFaults.forServer(host.name()));
    }
}
