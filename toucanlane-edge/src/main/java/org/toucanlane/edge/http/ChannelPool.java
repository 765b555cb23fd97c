package org.toucanlane.edge.http;

import com.google.common.base.Preconditions;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A pool of connections to one address. A connection carries one request at a time and is then reused.
 *
 * <p>Invariant: a connection is either idle in the pool or carries exactly one exchange. The most recently used connection
 * is reused first, so that surplus connections expire and are closed. Used on one event loop only.
 */
public final class ChannelPool {

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final PoolSettings settings;
    private final ResponseFaultListener faultListener;
    private final ChannelFactory<? extends Channel> sockets;
    private final Deque<ClientChannelHandler> idle = new ArrayDeque<>();
    private final Set<ClientChannelHandler> open = new HashSet<>();
    private int connectingCount;
    private boolean closed;

    /**
     * Creates an empty pool.
     *
     * @param faultListener receives what the server sends and is not the response to a request
     */
    public ChannelPool(
            InetSocketAddress address, EventLoop loop, PoolSettings settings, ResponseFaultListener faultListener) {
        this(address, loop, settings, faultListener, NioSocketChannel::new);
    }

    ChannelPool(
            InetSocketAddress address,
            EventLoop loop,
            PoolSettings settings,
            ResponseFaultListener faultListener,
            ChannelFactory<? extends Channel> sockets) {
        this.address = Preconditions.checkNotNull(address, "address");
        this.loop = Preconditions.checkNotNull(loop, "loop");
        this.settings = Preconditions.checkNotNull(settings, "settings");
        this.faultListener = Preconditions.checkNotNull(faultListener, "faultListener");
        this.sockets = Preconditions.checkNotNull(sockets, "sockets");
    }

    /** Sends {@code request} on an idle connection or on a new one. The request is always released. */
    public void send(FullHttpRequest request, ExchangeListener listener) {
        ClientChannelHandler reused = takeIdle();
        if (reused != null) {
            reused.send(request, listener);
        } else if (isFull()) {
            request.release();
            listener.onFailed(ExchangeListener.Stage.NOT_SENT, poolUnavailable());
        } else {
            connect(request, listener);
        }
    }

    private ConnectException poolUnavailable() {
        return new ConnectException(
                "no free connection to " + address + ": the pool is closed or has reached its connection limit");
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

    /**
     * Opens a connection without a request, which the pool keeps for a later one, unless there is an open connection.
     *
     * @param result receives whether there is an open connection; it is called once, possibly before this method returns
     */
    public void openIfNone(Consumer<Boolean> result) {
        if (hasOpenConnection()) {
            result.accept(true);
        } else if (isFull()) {
            result.accept(false);
        } else {
            open(
                    handler -> {
                        handler.startIdling();
                        result.accept(true);
                    },
                    failure -> result.accept(false));
        }
    }

    private boolean isFull() {
        return closed || open.size() + connectingCount >= settings.maxConnections();
    }

    private void connect(FullHttpRequest request, ExchangeListener listener) {
        PendingCall pending = new PendingCall();
        listener.onStarted(pending);
        open(
                handler -> {
                    if (pending.cancelled) {
                        request.release();
                        handler.close();
                    } else {
                        handler.send(request, listener);
                    }
                },
                failure -> {
                    request.release();
                    if (!pending.cancelled) {
                        listener.onFailed(ExchangeListener.Stage.NOT_SENT, failure);
                    }
                });
    }

    private void open(Consumer<ClientChannelHandler> opened, Consumer<Throwable> failed) {
        connectingCount++;
        HttpDecoderConfig decoderConfig = new HttpDecoderConfig().setMaxHeaderSize(settings.maxHeaderBytes());
        ClientChannelHandler handler =
                new ClientChannelHandler(this, decoderConfig, settings.idleTime(), faultListener);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(sockets)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                // So that a reset behind the end of a response can be noticed.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handler.decoder(), new HttpRequestEncoder(), handler);
                    }
                });
        bootstrap.connect(address).addListener((ChannelFuture done) -> {
            if (loop.inEventLoop()) {
                onConnected(done, handler, opened, failed);
            } else {
                // The future of a channel that couldn't be created isn't notified on the event loop.
                loop.execute(() -> onConnected(done, handler, opened, failed));
            }
        });
    }

    private void onConnected(
            ChannelFuture done,
            ClientChannelHandler handler,
            Consumer<ClientChannelHandler> opened,
            Consumer<Throwable> failed) {
        connectingCount--;
        if (done.isSuccess() && !closed) {
            handler.markOpened(System.nanoTime());
            open.add(handler);
            opened.accept(handler);
            return;
        }
        if (done.channel().isRegistered()) {
            done.channel().close();
        }
        failed.accept(done.isSuccess() ? poolUnavailable() : done.cause());
    }

    /** Returns a connection to the pool after its exchange has ended. */
    void release(ClientChannelHandler handler) {
        if (closed) {
            handler.close();
        } else {
            idle.addLast(handler);
        }
    }

    /** Removes a closed connection from the pool. */
    void closed(ClientChannelHandler handler) {
        open.remove(handler);
        idle.remove(handler);
    }

    /**
     * Returns whether a connection that was established before {@code time} is known to be open still. A connection
     * whose reading is paused isn't counted, since its end wouldn't be noticed.
     */
    public boolean hasConnectionOpenedBefore(long time) {
        return open.stream().anyMatch(handler -> handler.isOpen() && handler.openedAt() - time < 0);
    }

    /** Returns whether a connection is known to be open, in the sense of {@link #hasConnectionOpenedBefore}. */
    public boolean hasOpenConnection() {
        return open.stream().anyMatch(ClientChannelHandler::isOpen);
    }

    /** Closes connections that have exceeded their idle time. */
    public void closeExpired() {
        long now = System.nanoTime();
        idle.stream().filter(handler -> !handler.isUsable(now)).toList().forEach(ClientChannelHandler::close);
    }

    /** Closes all idle connections at once, and the others when their exchanges end. */
    public void close() {
        closed = true;
        idle.stream().toList().forEach(ClientChannelHandler::close);
    }

    /** A request whose connection is still being established. */
    private static final class PendingCall implements ClientCall {

        private boolean cancelled;

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void setAutoRead(boolean reading) {
            // Nothing can be read before the connection is established.
        }
    }
}
