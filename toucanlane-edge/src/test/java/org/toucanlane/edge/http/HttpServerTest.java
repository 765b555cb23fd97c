package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the server over real sockets. */
class HttpServerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer server;

    private void bind(RequestHandler handler) throws Exception {
        server = HttpServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), group, handler);
    }

    @AfterEach
    void close() throws Exception {
        group.next().submit(server::close).get();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    private Socket connect() throws IOException {
        Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort());
        socket.setSoTimeout((int) TIMEOUT.toMillis());
        return socket;
    }

    /** A request whose handling failed was never answered, and its connection stayed open: see docs/incidents/0014. */
    @Test
    void closesAConnectionWhoseRequestMakesTheHandlerFail() throws Exception {
        bind(request -> {
            throw new IllegalStateException("rejected");
        });
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }
}
