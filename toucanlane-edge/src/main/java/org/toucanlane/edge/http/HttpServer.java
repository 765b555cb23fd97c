package org.toucanlane.edge.http;

import com.google.common.base.Preconditions;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.toucanlane.domain.serving.CallerLimits;

/**
 * A listening address with its connections.
 *
 * <p>Its limits may change while it runs; they hold for connections that open later, the times at once. Apart from
 * {@link #open} it is used on its event loop only.
 */
public final class HttpServer {

    /** How often connections are looked at for time limits: a fraction of the shortest limit in use. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    /** Longest request line; a target that is longer is no path of a route. */
    private static final int MAX_LINE_BYTES = 8 << 10;

    /** Connections that wait to be accepted: a burst of callers after a host's return. */
    private static final int BACKLOG = 1024;

    /** Unsent bytes of one answer above which its source is paused. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32 << 10, 128 << 10);

    /** Added to the idle time, so that a caller that uses up its time is not cut off by a late clock. */
    private static final Duration IDLE_SLACK = Duration.ofSeconds(2);

    private final RequestHandler handler;
    private final Set<ServerChannelHandler> connections = new HashSet<>();
    private CallerLimits limits = CallerLimits.DEFAULT;
    private Channel channel;
    private boolean leaving;

    private HttpServer(RequestHandler handler) {
        this.handler = Preconditions.checkNotNull(handler, "handler");
    }

    /**
     * Listens on {@code address}.
     *
     * @throws IOException if the address can't be bound
     */
    public static HttpServer open(InetSocketAddress address, EventLoopGroup loops, RequestHandler handler)
            throws IOException {
        HttpServer server = new HttpServer(handler);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        HttpDecoderConfig decoding = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(server.limits.maxHeaderBytes());
                        connection.pipeline().addLast(new HttpServerCodec(decoding), new ServerChannelHandler(server));
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + address, bound.cause());
        }
        server.channel = bound.channel();
        server.channel
                .eventLoop()
                .scheduleAtFixedRate(
                        server::sweep, SWEEP_INTERVAL.toMillis(), SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return server;
    }

    private void sweep() {
        long now = System.nanoTime();
        connections.stream().toList().forEach(connection -> connection.closeIfExpired(now));
    }

    /** Puts other limits into force. */
    public void limit(CallerLimits next) {
        limits = next;
    }

    /** Asks callers, with each answer from now on, to connect elsewhere. */
    public void leave() {
        leaving = true;
    }

    /** Returns how many connections carry a request. */
    public long busyConnections() {
        return connections.stream().filter(ServerChannelHandler::isBusy).count();
    }

    boolean isLeaving() {
        return leaving;
    }

    RequestHandler handler() {
        return handler;
    }

    int maxBodyBytes() {
        return limits.maxBodyBytes();
    }

    long bodyNanos() {
        return limits.idleTimeout().toNanos();
    }

    long idleNanos() {
        return limits.idleTimeout().plus(IDLE_SLACK).toNanos();
    }

    void opened(ServerChannelHandler connection) {
        connections.add(connection);
    }

    void closed(ServerChannelHandler connection) {
        connections.remove(connection);
    }
}
