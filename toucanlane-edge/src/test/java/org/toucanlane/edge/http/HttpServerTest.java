package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanlane.domain.serving.CallerLimits;

/** Tests the server over real sockets. */
class HttpServerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_BODY_BYTES = CallerLimits.DEFAULT.maxBodyBytes();
    private static final int SHORT_BYTES = 1_000;
    private static final int LONG_CALLERS = (64 << 20) / MAX_BODY_BYTES;

    /** Number of long bodies for which there is memory. */
    private static final int MAX_HELD = (28 << 20) / MAX_BODY_BYTES;

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

    @Test
    void answersRequestsThatWereSentAheadInOrder() throws Exception {
        bind(request -> {
            ByteBuf body = request.body();
            request.responder().respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, body));
        });
        try (Socket socket = connect()) {
            StringBuilder requests = new StringBuilder();
            StringBuilder bodies = new StringBuilder();
            for (int i = 100; i < 400; i++) {
                requests.append("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n")
                        .append(i);
                bodies.append(i);
            }
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
            StringBuilder received = new StringBuilder();
            while (received.length() < bodies.length()) {
                assertThat(readHead(socket)).startsWith("HTTP/1.1 200");
                received.append(new String(socket.getInputStream().readNBytes(3), StandardCharsets.US_ASCII));
            }
            assertThat(received).hasToString(bodies.toString());
        }
    }

    /** A request that was handled out of memory was never answered, and its connection stayed open. */
    @Test
    void closesAConnectionWhoseRequestIsHandledOutOfMemory() throws Exception {
        bind(request -> {
            throw new OutOfMemoryError("no heap");
        });
        try (Socket socket = connect()) {
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** Long bodies filled the memory, so that nothing was answered: see docs/incidents/0016. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void refusesBodiesThatExceedTheMemoryAndServesShortOnes(boolean chunked) throws Exception {
        List<InboundRequest> held = new CopyOnWriteArrayList<>();
        bind(request -> {
            if (request.body().readableBytes() > SHORT_BYTES) {
                held.add(request);
            } else {
                request.body().release();
                request.responder()
                        .respond(new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER));
            }
        });
        List<Socket> callers = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < LONG_CALLERS; i++) {
            Socket caller = connect();
            callers.add(caller);
            post(caller, MAX_BODY_BYTES, chunked);
            try (Socket other = connect()) {
                post(other, SHORT_BYTES, chunked);
                assertThat(readHead(other)).startsWith("HTTP/1.1 200");
            }
            long end = System.nanoTime() + TIMEOUT.toNanos();
            while (caller.getInputStream().available() == 0
                    && held.size() + refused <= i
                    && System.nanoTime() - end < 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
            if (caller.getInputStream().available() > 0) {
                assertThat(readHead(caller)).startsWith("HTTP/1.1 503").contains("retry-after: 1");
                refused++;
                // The connection can be used again.
                post(caller, SHORT_BYTES, chunked);
                assertThat(readHead(caller)).startsWith("HTTP/1.1 200");
            }
        }
        assertThat(refused).isEqualTo(LONG_CALLERS - MAX_HELD);
        assertThat(held()).isEqualTo((long) MAX_HELD * MAX_BODY_BYTES);
        group.next()
                .submit(() -> held.forEach(request -> {
                    assertThat(request.body().isDirect()).isTrue();
                    assertThat(request.body().forEachByte(value -> value == 'x'))
                            .isEqualTo(-1);
                    request.body().release();
                }))
                .get();
        assertThat(held()).isZero();
        for (Socket caller : callers) {
            caller.close();
        }
    }

    @Test
    void givesBackTheMemoryOfABodyWhoseCallerLeaves() throws Exception {
        bind(request -> request.body().release());
        try (Socket caller = connect()) {
            caller.getOutputStream().write(head(true, "Content-Length: " + MAX_BODY_BYTES));
            caller.getOutputStream().write('x');
            awaitHeld(MAX_BODY_BYTES);
        }
        awaitHeld(0);
    }

    private long held() throws Exception {
        return group.next().submit(() -> server.bodyBudget().total()).get();
    }

    private void awaitHeld(long bytes) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (held() != bytes && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(held()).isEqualTo(bytes);
    }

    private static byte[] head(boolean post, String header) {
        return ((post ? "POST" : "GET") + " / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static void post(Socket caller, int bytes, boolean chunked) throws IOException {
        byte[] body = "x".repeat(bytes).getBytes(StandardCharsets.US_ASCII);
        OutputStream out = caller.getOutputStream();
        out.write(head(true, chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bytes));
        if (chunked) {
            out.write((Integer.toHexString(bytes) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        }
        out.write(body);
        if (chunked) {
            out.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static String readHead(Socket caller) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = caller.getInputStream().read();
            assertThat(next).as(text.toString()).isNotNegative();
            text.append((char) next);
        }
        return text.toString();
    }
}
