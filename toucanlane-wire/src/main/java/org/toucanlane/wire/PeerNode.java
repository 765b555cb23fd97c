package org.toucanlane.wire;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * This process towards its peers: a listener and one link to each of them. Thread-safe.
 */
public final class PeerNode implements AutoCloseable {

    private static final int NETWORK_THREADS = 2;

    private final PeerIdentity self;
    private final PeerHandler handler;
    private final Optional<PeerTls> tls;
    private final MultiThreadIoEventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory());
    private final Map<String, PeerLink> links = new ConcurrentHashMap<>();
    private final PeerServer server;

    /**
     * Starts listening.
     *
     * @param address where to listen; port 0 takes any free one
     * @param callExecutor runs peers' calls, each on a thread of its own; may reject them
     * @throws InterruptedException if interrupted meanwhile
     */
    public PeerNode(
            InetSocketAddress address,
            PeerIdentity self,
            PeerHandler handler,
            Optional<PeerTls> tls,
            Executor callExecutor)
            throws InterruptedException {
        this.self = self;
        this.handler = handler;
        this.tls = tls;
        this.server = new PeerServer(address, self, handler, eventLoops, tls, callExecutor);
    }

    /** Returns the address listened on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Keeps a link to {@code peer}, replacing one to another address or with another time between heartbeats. */
    public void connect(String peer, InetSocketAddress address, Duration heartbeatInterval) {
        links.compute(peer, (name, link) -> {
            if (link != null
                    && link.address().equals(address)
                    && link.heartbeatInterval().equals(heartbeatInterval)) {
                return link;
            }
            if (link != null) {
                link.close();
            }
            PeerLink next = new PeerLink(peer, address, self, handler, eventLoops, tls, heartbeatInterval);
            next.connect();
            return next;
        });
    }

    /** Ends the link to {@code peer}. */
    public void disconnect(String peer) {
        PeerLink link = links.remove(peer);
        if (link != null) {
            link.close();
        }
    }

    /** Returns the link to {@code peer}, connected or not. */
    public Optional<PeerLink> link(String peer) {
        return Optional.ofNullable(links.get(peer));
    }

    /** Returns the names of the peers to which there are links. */
    public Set<String> peers() {
        return Map.copyOf(links).keySet();
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        server.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }
}
