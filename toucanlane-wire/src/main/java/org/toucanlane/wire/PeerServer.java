package org.toucanlane.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.wire.proto.Frame;
import org.toucanlane.wire.proto.Heartbeat;

/**
 * Accepts connections from peers and passes their messages to a handler. Thread-safe.
 */
final class PeerServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
    private static final String OVERLOADED = "OVERLOADED";
    private static final long OVERLOAD_RETRY_MILLIS = 500;

    private final PeerIdentity self;
    private final PeerHandler handler;
    private final Executor callExecutor;
    private final Channel listener;

    PeerServer(
            InetSocketAddress address,
            PeerIdentity self,
            PeerHandler handler,
            EventLoopGroup eventLoops,
            Optional<PeerTls> tls,
            Executor callExecutor)
            throws InterruptedException {
        this.self = self;
        this.handler = handler;
        this.callExecutor = callExecutor;
        this.listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        tls.ifPresent(keys -> connection.pipeline().addLast(keys.serverHandler(connection)));
                        PeerProtocol.addCodecs(connection.pipeline());
                        connection.pipeline().addLast(new ConnectionHandler());
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }

    /** Handles the frames of one connection. */
    private final class ConnectionHandler extends SimpleChannelInboundHandler<Frame> {

        private final Map<Long, CallResponder> openCalls = new ConcurrentHashMap<>();
        private PeerIdentity remote;
        private long lastStreamId;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (remote == null) {
                handleHello(context, frame);
                return;
            }
            switch (frame.getBodyCase()) {
                case HEARTBEAT -> {
                    handler.onHeartbeat(remote, frame.getHeartbeat());
                    Heartbeat.Builder heartbeat = handler.heartbeat().toBuilder();
                    heartbeat.setIntervalMillis(frame.getHeartbeat().getIntervalMillis());
                    reply(context, 0, Frame.newBuilder().setHeartbeat(heartbeat));
                }
                case CALL_OPEN -> openCall(context, frame);
                case CALL_CREDIT -> addCredit(frame);
                case CALL_CANCEL -> cancelCall(frame.getStreamId());
                case LOAN_REQUEST ->
                    reply(
                            context,
                            frame.getStreamId(),
                            Frame.newBuilder().setLoanReply(handler.onLoanRequest(remote, frame.getLoanRequest())));
                case LOAN_RETURN -> handler.onLoanReturn(remote, frame.getLoanReturn());
                case CONFIGURATION_REQUEST ->
                    reply(
                            context,
                            frame.getStreamId(),
                            Frame.newBuilder()
                                    .setConfigurationReply(
                                            handler.onConfigurationRequest(remote, frame.getConfigurationRequest())));
                default -> LOG.debug("ignored unexpected {} frame from {}", frame.getBodyCase(), remote.host());
            }
        }

        private void reply(ChannelHandlerContext context, long streamId, Frame.Builder frame) {
            context.writeAndFlush(frame.setStreamId(streamId).build());
        }

        private void handleHello(ChannelHandlerContext context, Frame frame) {
            if (!frame.hasHello() || frame.getHello().getProtocolVersion() != PeerProtocol.VERSION) {
                LOG.warn(
                        "rejected a connection whose first frame is not a hello of protocol version {}",
                        PeerProtocol.VERSION);
                context.close();
                return;
            }
            try {
                remote = PeerIdentity.from(frame.getHello());
            } catch (IllegalArgumentException e) {
                LOG.warn("rejected a connection with an invalid hello: {}", e.getMessage());
                context.close();
                return;
            }
            reply(context, 0, Frame.newBuilder().setHello(self.toHello()));
        }

        private void openCall(ChannelHandlerContext context, Frame frame) {
            long streamId = frame.getStreamId();
            if (streamId <= lastStreamId) {
                LOG.warn(
                        "closing the connection to {}: stream id {} is not greater than the previous one",
                        remote.host(),
                        streamId);
                context.close();
                return;
            }
            lastStreamId = streamId;
            CallResponder responder = new CallResponder(context.channel(), streamId);
            openCalls.put(streamId, responder);
            try {
                callExecutor.execute(() -> runCall(frame, responder));
            } catch (RejectedExecutionException e) {
                openCalls.remove(streamId);
                responder.fail(OVERLOADED, "too many calls from peers", OVERLOAD_RETRY_MILLIS);
            }
        }

        private void runCall(Frame frame, CallResponder responder) {
            try {
                handler.onCall(remote, frame.getCallOpen(), responder);
            } finally {
                openCalls.remove(frame.getStreamId());
            }
        }

        private void addCredit(Frame frame) {
            CallResponder responder = openCalls.get(frame.getStreamId());
            if (responder != null) {
                responder.addCredit(frame.getCallCredit().getBytes());
            }
        }

        private void cancelCall(long streamId) {
            CallResponder responder = openCalls.get(streamId);
            if (responder != null) {
                responder.cancel();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            openCalls.values().forEach(CallResponder::cancel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("connection from a peer failed", cause);
            context.close();
        }
    }
}
