package org.toucanlane.edge.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.http.HttpServer;
import org.toucanlane.edge.http.Responder;

class HostDrainTest {

    private static final Duration MIN_TIME = Duration.ofMillis(50);
    private static final Duration MAX_TIME = Duration.ofMillis(200);
    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(5);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void shutDown() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A request that failed to end kept the host from ending the others and from closing its connections. */
    @Test
    void endsAllRequestsIfOneOfThemFails() throws Exception {
        CountDownLatch arrived = new CountDownLatch(2);
        CountDownLatch ended = new CountDownLatch(2);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        HttpServer server = HttpServer.bind(address, group, request -> {
            request.responder().setListener(new FailingListener(ended));
            arrived.countDown();
        });
        HostDrain drain = new HostDrain(group.next(), List.of(server), MIN_TIME, MAX_TIME);
        try (Socket first = send(address);
                Socket second = send(address)) {
            assertThat(arrived.await(WAIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                    .isTrue();
            group.next().execute(drain::start);
            HostDrain.Result result = drain.result().get(WAIT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            assertThat(result.aborted()).isEqualTo(2);
            assertThat(ended.getCount()).isZero();
            assertThat(first.getInputStream().read()).isEqualTo(-1);
            assertThat(second.getInputStream().read()).isEqualTo(-1);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Socket send(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout((int) WAIT_TIMEOUT.toMillis());
        socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Fails when the server ends its request. */
    private record FailingListener(CountDownLatch ended) implements Responder.Listener {

        @Override
        public void onCallerDisconnected() {}

        @Override
        public void onServerClosing() {
            ended.countDown();
            throw new IllegalStateException("the request can't be ended");
        }

        @Override
        public void onWritabilityChanged(boolean writable) {}
    }
}
