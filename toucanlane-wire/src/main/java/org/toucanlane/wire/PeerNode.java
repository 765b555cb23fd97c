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
 * Connects this process with its peers: accepts their connections and keeps one link to each of them. Thread-safe.
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
     * Creates a node and starts to accept connections.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param callExecutor executor that runs each peer call on a thread of its own; may reject calls
     * @throws InterruptedException if the thread is interrupted while the socket is bound
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

    /** Returns the address that this node listens on. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Opens a link to {@code peer}, or replaces the link if its address or heartbeat interval has changed. */
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
            PeerLink newLink = new PeerLink(peer, address, self, handler, eventLoops, tls, heartbeatInterval);
            newLink.connect();
            return newLink;
        });
    }

    /** Closes the link to {@code peer}, if there is one. */
    public void disconnect(String peer) {
        PeerLink link = links.remove(peer);
        if (link != null) {
            link.close();
        }
    }

    /** Returns the link to {@code peer}, whether it is connected or not. */
    public Optional<PeerLink> link(String peer) {
        return Optional.ofNullable(links.get(peer));
    }

    /** Returns the names of all peers that this node has a link to. */
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
