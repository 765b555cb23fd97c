package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the opening of connections. */
class ChannelPoolTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_HEADER_BYTES = 8 << 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private ServerSocket server;

    @BeforeEach
    void listen() throws Exception {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        server.setSoTimeout((int) TIMEOUT.toMillis());
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    private ChannelPool pool(int maxConnections) {
        PoolSettings settings = new PoolSettings(TIMEOUT, TIMEOUT, maxConnections, MAX_HEADER_BYTES);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        return new ChannelPool(address, loop, settings, (fault, exchange, detail) -> {});
    }

    private boolean openIfNone(ChannelPool pool) throws Exception {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.execute(() -> pool.openIfNone(result::complete));
        return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean hasOpenConnection(ChannelPool pool) throws Exception {
        return loop.submit(pool::hasOpenConnection).get();
    }

    @Test
    void opensOneConnectionAndNoticesItsEnd() throws Exception {
        ChannelPool pool = pool(2);
        assertThat(hasOpenConnection(pool)).isFalse();
        assertThat(openIfNone(pool)).isTrue();
        assertThat(openIfNone(pool)).isTrue();
        assertThat(hasOpenConnection(pool)).isTrue();
        server.accept().close();
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (hasOpenConnection(pool) && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(hasOpenConnection(pool)).isFalse();
    }

    @Test
    void closesAConnectionWithoutARequestWithThePool() throws Exception {
        ChannelPool pool = pool(1);
        assertThat(openIfNone(pool)).isTrue();
        loop.submit(pool::close).get();
        assertThat(hasOpenConnection(pool)).isFalse();
        assertThat(openIfNone(pool)).isFalse();
    }

    @Test
    void opensNoConnectionBeyondTheLimit() throws Exception {
        assertThat(openIfNone(pool(0))).isFalse();
    }

    @Test
    void reportsARefusedConnection() throws Exception {
        ChannelPool pool = pool(1);
        server.close();
        assertThat(openIfNone(pool)).isFalse();
        assertThat(hasOpenConnection(pool)).isFalse();
    }

    private ChannelPool poolWithoutSockets() {
        PoolSettings settings = new PoolSettings(TIMEOUT, TIMEOUT, 1, MAX_HEADER_BYTES);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        return new ChannelPool(address, loop, settings, (fault, exchange, detail) -> {}, UnopenableChannel::new);
    }

    /** A request was lost with its body if the process had no descriptor left: see docs/incidents/0014. */
    @Test
    void reportsAConnectionWhoseSocketCannotBeCreated() throws Exception {
        ChannelPool pool = poolWithoutSockets();
        // Each try counts against the limit of one connection until it has failed.
        for (int i = 0; i < 3; i++) {
            ByteBuf body = Unpooled.buffer().writeZero(8);
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/", body);
            FailureRecorder failure = new FailureRecorder(loop);
            loop.execute(() -> pool.send(request, failure));
            assertThat(failure.cause.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                    .hasRootCauseMessage("Too many open files");
            assertThat(failure.reportedOnLoop).isTrue();
            assertThat(body.refCnt()).isZero();
        }
        assertThat(openIfNone(pool)).isFalse();
    }

    /** Records how the failure of a request is reported. */
    private static final class FailureRecorder implements ExchangeListener {

        private final CompletableFuture<Throwable> cause = new CompletableFuture<>();
        private final EventLoop loop;
        private volatile boolean reportedOnLoop;

        private FailureRecorder(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void onStarted(ClientCall call) {
            // Ignored.
        }

        @Override
        public ResponseMatch onHead(HttpResponse response) {
            return ResponseMatch.OTHER;
        }

        @Override
        public void onData(ByteBuf content, boolean last) {
            content.release();
        }

        @Override
        public void onFailed(Stage stage, Throwable failure) {
            reportedOnLoop = loop.inEventLoop();
            cause.complete(failure);
        }
    }

    /** A channel that fails as one does whose socket can't be created. */
    private static final class UnopenableChannel extends NioSocketChannel {

        private UnopenableChannel() {
            super(failToOpen());
        }

        private static SelectorProvider failToOpen() {
            throw new ChannelException("Failed to open a socket.", new SocketException("Too many open files"));
        }
    }
}
