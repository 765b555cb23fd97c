package org.toucanlane.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;
import org.toucanlane.wire.proto.Frame;
import org.toucanlane.wire.proto.LoanReply;
import org.toucanlane.wire.proto.LoanRequest;
import org.toucanlane.wire.proto.LoanReturn;

/**
 * Connection to one peer. Reconnects with jittered exponential backoff whenever the connection is lost.
 *
 * <p>Invariants: a link never reuses a stream id; no other frame is sent before both sides have exchanged hellos and
 * the peer is known to be the expected host; a call is written to at most one connection, at most once, and is never
 * moved to another. Thread-safe.
 */
public final class PeerLink implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 5_000;
    private static final int MAX_MISSED_HEARTBEATS = 5;

    private final String peer;
    private final InetSocketAddress address;
    private final PeerIdentity self;
    private final PeerHandler handler;
    private final EventLoopGroup eventLoops;
    private final Optional<PeerTls> tls;
    private final Duration heartbeatInterval;
    private final AtomicLong lastStreamId = new AtomicLong();
    private final Map<Long, PeerCall> openCalls = new ConcurrentHashMap<>();
    private final Map<Long, CompletableFuture<Frame>> pendingReplies = new ConcurrentHashMap<>();
    private volatile Channel channel;
    private volatile boolean closed;
    private volatile long roundTripNanos;
    private volatile long backoffMillis = INITIAL_BACKOFF_MILLIS;

    PeerLink(
            String peer,
            InetSocketAddress address,
            PeerIdentity self,
            PeerHandler handler,
            EventLoopGroup eventLoops,
            Optional<PeerTls> tls,
            Duration heartbeatInterval) {
        this.peer = peer;
        this.address = address;
        this.self = self;
        this.handler = handler;
        this.eventLoops = eventLoops;
        this.tls = tls;
        this.heartbeatInterval = heartbeatInterval;
    }

    void connect() {
        if (closed) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        tls.ifPresent(keys -> connection.pipeline().addLast(keys.clientHandler(connection)));
                        PeerProtocol.addCodecs(connection.pipeline());
                        connection.pipeline().addLast(new LinkHandler());
                    }
                });
        bootstrap.connect(address).addListener(result -> {
            if (!result.isSuccess()) {
                scheduleReconnect();
            }
        });
    }

    private void scheduleReconnect() {
        if (closed || eventLoops.isShuttingDown()) {
            return;
        }
        long delay = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        eventLoops.schedule(this::connect, delay, TimeUnit.MILLISECONDS);
    }

    /** Returns the name of the peer. */
    public String peer() {
        return peer;
    }

    InetSocketAddress address() {
        return address;
    }

    Duration heartbeatInterval() {
        return heartbeatInterval;
    }

    /** Returns whether the connection is active and both sides have exchanged hellos. */
    public boolean isConnected() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    /** Returns the round-trip time of the last heartbeat, or zero before the first reply. */
    public Duration roundTrip() {
        return Duration.ofNanos(roundTripNanos);
    }

    /**
     * Opens a call on the current connection.
     *
     * @throws PeerCallException with reason {@code NOT_SENT} if there is no connection
     */
    public PeerCall call(CallOpen open) throws PeerCallException {
        Channel current = channel;
        if (current == null || !current.isActive()) {
            throw PeerCallException.notSent("no connection to " + peer);
        }
        long streamId = lastStreamId.incrementAndGet();
        PeerCall call = new PeerCall(streamId, current::writeAndFlush, () -> openCalls.remove(streamId));
        openCalls.put(streamId, call);
        current.writeAndFlush(
                Frame.newBuilder().setStreamId(streamId).setCallOpen(open).build());
        if (!current.isActive()) {
            call.connectionLost();
        }
        return call;
    }

    /** Requests a loan from the peer. The future yields an empty value if there is no connection or it is lost. */
    public CompletableFuture<Optional<LoanReply>> requestLoan(LoanRequest request) {
        return sendRequest(Frame.newBuilder().setLoanRequest(request))
                .thenApply(reply -> reply.filter(Frame::hasLoanReply).map(Frame::getLoanReply));
    }

    /** Returns a loan to the peer. Does nothing if there is no connection. */
    public void returnLoan(LoanReturn returned) {
        Channel current = channel;
        if (current != null) {
            current.writeAndFlush(Frame.newBuilder()
                    .setStreamId(lastStreamId.incrementAndGet())
                    .setLoanReturn(returned)
                    .build());
        }
    }

    /** Requests the configuration. The future yields an empty value if there is no connection or it is lost. */
    public CompletableFuture<Optional<ConfigurationReply>> requestConfiguration(ConfigurationRequest request) {
        return sendRequest(Frame.newBuilder().setConfigurationRequest(request))
                .thenApply(reply -> reply.filter(Frame::hasConfigurationReply).map(Frame::getConfigurationReply));
    }

    private CompletableFuture<Optional<Frame>> sendRequest(Frame.Builder request) {
        Channel current = channel;
        if (current == null || !current.isActive()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        long streamId = lastStreamId.incrementAndGet();
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        pendingReplies.put(streamId, reply);
        current.writeAndFlush(request.setStreamId(streamId).build());
        if (!current.isActive()) {
            reply.completeExceptionally(PeerCallException.broken("the connection was lost"));
        }
        return reply.handle((frame, failure) -> {
            pendingReplies.remove(streamId);
            return Optional.ofNullable(frame);
        });
    }

    @Override
    public void close() {
        closed = true;
        Channel current = channel;
        if (current != null) {
            current.close();
        }
        failPending();
    }

    private void failPending() {
        openCalls.values().forEach(PeerCall::connectionLost);
        openCalls.clear();
        PeerCallException lost = PeerCallException.broken("the connection was lost");
        pendingReplies.values().forEach(reply -> reply.completeExceptionally(lost));
        pendingReplies.clear();
    }

    /** Handles the frames of one connection. */
    private final class LinkHandler extends SimpleChannelInboundHandler<Frame> {

        private PeerIdentity remote;
        private int unansweredHeartbeats;
        private long heartbeatSentNanos;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Frame.newBuilder().setHello(self.toHello()).build());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (remote == null) {
                handleHello(context, frame);
                return;
            }
            switch (frame.getBodyCase()) {
                case HEARTBEAT -> {
                    unansweredHeartbeats = 0;
                    roundTripNanos = System.nanoTime() - heartbeatSentNanos;
                    handler.onHeartbeat(remote, frame.getHeartbeat());
                }
                case CALL_HEAD, CALL_DATA, CALL_END -> deliver(frame);
                case LOAN_REPLY, CONFIGURATION_REPLY -> {
                    CompletableFuture<Frame> reply = pendingReplies.remove(frame.getStreamId());
                    if (reply != null) {
                        reply.complete(frame);
                    }
                }
                default -> LOG.debug("ignored unexpected {} frame from {}", frame.getBodyCase(), peer);
            }
        }

        private void deliver(Frame frame) {
            PeerCall call = openCalls.get(frame.getStreamId());
            if (call != null) {
                call.deliver(frame);
            }
        }

        private void handleHello(ChannelHandlerContext context, Frame frame) {
            boolean expected = frame.hasHello()
                    && frame.getHello().getProtocolVersion() == PeerProtocol.VERSION
                    && frame.getHello().getHost().equals(peer);
            if (!expected) {
                LOG.warn("expected host {} at {}, but found another host or protocol version", peer, address);
                context.close();
                return;
            }
            remote = PeerIdentity.from(frame.getHello());
            channel = context.channel();
            backoffMillis = INITIAL_BACKOFF_MILLIS;
            sendHeartbeat(context);
        }

        private void sendHeartbeat(ChannelHandlerContext context) {
            if (!context.channel().isActive()) {
                return;
            }
            if (unansweredHeartbeats++ >= MAX_MISSED_HEARTBEATS) {
                context.close();
                return;
            }
            heartbeatSentNanos = System.nanoTime();
            context.writeAndFlush(Frame.newBuilder()
                    .setHeartbeat(handler.heartbeat().toBuilder().setIntervalMillis((int) heartbeatInterval.toMillis()))
                    .build());
            context.executor()
                    .schedule(() -> sendHeartbeat(context), heartbeatInterval.toMillis(), TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel()) {
                channel = null;
                failPending();
            }
            scheduleReconnect();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("connection to {} failed", peer, cause);
            context.close();
        }
    }
}
