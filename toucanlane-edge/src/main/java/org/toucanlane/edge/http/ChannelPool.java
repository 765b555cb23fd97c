package org.toucanlane.edge.http;

import com.google.common.base.Preconditions;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Connections to one address that carry one request at a time and are kept for the next.
 *
 * <p>Invariant: a connection is either idle in the pool or carries exactly one exchange. The connection used last is
 * used first, so that the others grow old and close. Used on one event loop only.
 */
public final class ChannelPool {

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final PoolSettings settings;
    private final Deque<ClientChannelHandler> idle = new ArrayDeque<>();
    private final Set<ClientChannelHandler> open = new HashSet<>();
    private int connectingCount;
    private boolean closed;

    /** Creates a pool without connections. */
    public ChannelPool(InetSocketAddress address, EventLoop loop, PoolSettings settings) {
        this.address = Preconditions.checkNotNull(address, "address");
        this.loop = Preconditions.checkNotNull(loop, "loop");
        this.settings = Preconditions.checkNotNull(settings, "settings");
    }

    /**
     * Sends {@code request} on an idle connection or a new one. The request is released in any case.
     */
    public void send(FullHttpRequest request, ExchangeListener exchange) {
        ClientChannelHandler kept = takeIdle();
        if (kept != null) {
            kept.send(request, exchange);
        } else if (closed || open.size() + connectingCount >= settings.maxConnections()) {
            request.release();
            exchange.onFailed(
                    ExchangeListener.Stage.NOT_SENT, new ConnectException("no connection to " + address + " is free"));
        } else {
            connect(request, exchange);
        }
    }

    private ClientChannelHandler takeIdle() {
        long now = System.nanoTime();
        ClientChannelHandler handler = idle.pollLast();
        while (handler != null && !handler.isUsable(now)) {
            handler.close();
            handler = idle.pollLast();
        }
        return handler;
    }

    private void connect(FullHttpRequest request, ExchangeListener exchange) {
        connectingCount++;
        ClientChannelHandler handler = new ClientChannelHandler(this, settings.idleTime());
        HttpDecoderConfig decoding = new HttpDecoderConfig().setMaxHeaderSize(settings.maxHeaderBytes());
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(decoding, true, false), handler);
                    }
                });
        PendingCall pending = new PendingCall();
        exchange.onStarted(pending);
        bootstrap.connect(address).addListener((ChannelFuture done) -> {
            connectingCount--;
            if (pending.cancelled) {
                request.release();
                done.channel().close();
            } else if (done.isSuccess()) {
                open.add(handler);
                handler.send(request, exchange);
            } else {
                request.release();
                exchange.onFailed(ExchangeListener.Stage.NOT_SENT, done.cause());
            }
        });
    }

    /** Takes back a connection whose exchange has ended. */
    void release(ClientChannelHandler handler) {
        if (closed) {
            handler.close();
        } else {
            idle.addLast(handler);
        }
    }

    /** Forgets a connection that has closed. */
    void closed(ClientChannelHandler handler) {
        open.remove(handler);
        idle.remove(handler);
    }

    /** Closes the connections that have been idle for too long. */
    public void closeExpired() {
        long now = System.nanoTime();
        idle.stream().filter(handler -> !handler.isUsable(now)).toList().forEach(ClientChannelHandler::close);
    }

    /** Closes all idle connections at once, and the others when their exchanges end. */
    public void close() {
        closed = true;
        idle.stream().toList().forEach(ClientChannelHandler::close);
    }

    /** A call whose connection is still being made. */
    private static final class PendingCall implements ClientCall {

        private boolean cancelled;

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void setAutoRead(boolean reading) {
            // Nothing can be read before the connection is made.
        }
    }
}
