package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that the late copy of an earlier response, broken off at any byte of its head, isn't joined with the response behind
 * it: see docs/incidents/0009.
 */
class MergedHeadTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Time after which bytes have been read, as a rule, before those that are written behind it. */
    private static final Duration PAUSE = Duration.ofMillis(2);

    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_BODY_BYTES = 8 << 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<ResponseFault> faults = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private ServerSocket server;
    private volatile Script script;

    /** The framing of a response's body. */
    private enum Framing {
        LENGTH("Content-Length: 5", "right"),
        CHUNKS("Transfer-Encoding: chunked", "5\r\nright\r\n0\r\n\r\n");

        private final String header;
        private final String body;

        Framing(String header, String body) {
            this.header = header;
            this.body = body;
        }

        private String head(int status, String id) {
            return "HTTP/1.1 " + status + " Some Reason\r\nDate: Sat, 05 Dec 2026 13:30:20 GMT\r\nX-Request-Id: " + id
                    + "\r\nX-Response-Seal: s\r\nX-Load : 3\r\nVia: HTTP/1.1 127.0.0.1\r\nX-Time\t: 4\r\nX-List: a\r\n b\r\n"
                    + header
                    + "\r\nServer: engine\r\n\r\n";
        }

        private String response(int status, String id) {
            return head(status, id) + body;
        }
    }

    /** When the copy is written. */
    private enum Time {
        /** In one piece with the response that it copies. */
        WITH_THE_FIRST {
            @Override
            void answer(String id, Script script, OutputStream out) throws IOException {
                write(out, id.equals("first") ? script.first + script.copy : script.next);
            }
        },

        /** While the connection is idle. */
        BEFORE_THE_NEXT_REQUEST {
            @Override
            void answer(String id, Script script, OutputStream out) throws IOException {
                if (id.equals("first")) {
                    write(out, script.first);
                    pause();
                    write(out, script.copy);
                } else {
                    pause();
                    write(out, script.next);
                }
            }
        },

        /** Behind the next request, some time before the response to it. */
        BEFORE_THE_NEXT_RESPONSE {
            @Override
            void answer(String id, Script script, OutputStream out) throws IOException {
                if (id.equals("first")) {
                    write(out, script.first);
                } else {
                    write(out, script.copy);
                    pause();
                    write(out, script.next);
                }
            }
        },

        /** In one piece with the response to the next request. */
        WITH_THE_NEXT_RESPONSE {
            @Override
            void answer(String id, Script script, OutputStream out) throws IOException {
                write(out, id.equals("first") ? script.first : script.copy + script.next);
            }
        };

        abstract void answer(String id, Script script, OutputStream out) throws IOException;

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        private static void pause() throws IOException {
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    private record Script(Time time, String first, String copy, String next) {}

    @BeforeEach
    void listen() throws Exception {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startThread(() -> serve(socket));
            }
        });
    }

    @AfterEach
    void close() throws Exception {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException expected) {
                // The client or the test has closed the socket.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
            String line = in.readLine();
            while (line != null) {
                String id = line.split(" ", -1)[1].substring(1);
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                Script current = script;
                current.time.answer(id, current, socket.getOutputStream());
                line = in.readLine();
            }
        }
    }

    private ChannelPool pool() {
        PoolSettings settings = new PoolSettings(TIMEOUT, TIMEOUT, 1, MAX_HEADER_BYTES);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        return new ChannelPool(address, loop, settings, (fault, exchange, detail) -> faults.add(fault));
    }

    private static FullHttpRequest request(String id) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/" + id, Unpooled.EMPTY_BUFFER);
    }

    private String send(ChannelPool pool, String id) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        loop.execute(() -> pool.send(request(id), new Listener(id, result)));
        return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Time.values())
                .flatMap(time -> Stream.of(Framing.values())
                        .flatMap(copied -> Stream.of(Framing.values()).map(next -> Arguments.of(time, copied, next))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void takesNoStatusOfAnEarlierResponse(Time time, Framing copied, Framing next) throws Exception {
        String first = copied.response(200, "first");
        List<String> wrong = new ArrayList<>();
        for (int size : IntStream.range(1, copied.head(200, "first").length()).toArray()) {
            script = new Script(time, first, first.substring(0, size), next.response(500, "next"));
            ChannelPool pool = pool();
            assertThat(send(pool, "first")).isEqualTo("200 right");
            String outcome = send(pool, "next");
            if (!outcome.equals("500 right") && !outcome.startsWith("failed")) {
                wrong.add(size + " bytes of the copy: " + outcome);
            }
            loop.submit(pool::close).get();
        }
        assertThat(wrong).isEmpty();
    }

    /** The connection is closed, though the bytes that came while it was idle are no message yet. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void sendsNoRequestBehindABrokenOffCopy(Framing framing) throws Exception {
        String first = framing.response(200, "first");
        List<String> wrong = new ArrayList<>();
        for (int size : IntStream.rangeClosed(1, first.length()).toArray()) {
            script = new Script(Time.WITH_THE_FIRST, first, first.substring(0, size), framing.response(500, "next"));
            ChannelPool pool = pool();
            assertThat(send(pool, "first")).isEqualTo("200 right");
            String outcome = send(pool, "next");
            if (!outcome.equals("500 right")) {
                wrong.add(size + " bytes of the copy: " + outcome);
            }
            loop.submit(pool::close).get();
        }
        assertThat(wrong).isEmpty();
    }

    /** A response to another request was taken for a part of the answer when the connection was lost. */
    @Test
    void reportsNoAnswerIfTheConnectionIsLostWithinACopy() throws Exception {
        String first = Framing.LENGTH.response(200, "first");
        String copy = first.replace("Length: 5", "Length: 50");
        script = new Script(Time.BEFORE_THE_NEXT_RESPONSE, first, copy, "");
        ChannelPool pool = pool();
        assertThat(send(pool, "first")).isEqualTo("200 right");
        CompletableFuture<String> outcome = new CompletableFuture<>();
        loop.execute(() -> pool.send(request("next"), new Listener("next", outcome)));
        assertThat(faults.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo(ResponseFault.OTHER_REQUEST);
        sockets.forEach(MergedHeadTest::reset);
        assertThat(outcome.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)).startsWith("failed SENT");
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The store's responses name no request, so only the head itself tells that it is one of two. */
    @ParameterizedTest
    @MethodSource("cases")
    void buffersNoResponseWithTheStatusOfAnEarlierOne(Time time, Framing copied, Framing next) throws Exception {
        String first = copied.response(200, "first");
        List<String> wrong = new ArrayList<>();
        for (int size : IntStream.range(1, copied.head(200, "first").length()).toArray()) {
            script = new Script(time, first, first.substring(0, size), next.response(412, "next"));
            ChannelPool pool = pool();
            assertThat(buffer(pool, "first")).isEqualTo(200);
            int status = buffer(pool, "next");
            if (status != 412 && status != 0) {
                wrong.add(size + " bytes of the copy: " + status);
            }
            loop.submit(pool::close).get();
        }
        assertThat(wrong).isEmpty();
    }

    /** Returns the status of the response, or 0 if the request has failed. */
    private int buffer(ChannelPool pool, String id) throws Exception {
        CompletableFuture<BufferedExchange.Response> result = CompletableFuture.supplyAsync(
                        () -> BufferedExchange.send(pool, loop, request(id), TIMEOUT, MAX_BODY_BYTES), loop)
                .thenCompose(response -> response);
        try {
            return result.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS).status();
        } catch (ExecutionException e) {
            return 0;
        }
    }

    /** Accepts responses as an attempt does, by their ids, and reports the outcome as text. */
    private static final class Listener implements ExchangeListener {

        private final String id;
        private final CompletableFuture<String> result;
        private final StringBuilder text = new StringBuilder();

        private Listener(String id, CompletableFuture<String> result) {
            this.id = id;
            this.result = result;
        }

        @Override
        public void onStarted(ClientCall call) {
            // The test doesn't cancel.
        }

        @Override
        public ResponseMatch onHead(HttpResponse response) {
            if (!id.equals(response.headers().get("X-Request-Id"))) {
                return ResponseMatch.OTHER;
            }
            text.append(response.status().code()).append(' ');
            return ResponseMatch.OWN;
        }

        @Override
        public void onData(ByteBuf content, boolean last) {
            text.append(content.toString(StandardCharsets.UTF_8));
            content.release();
            if (last) {
                result.complete(text.toString());
            }
        }

        @Override
        public void onFailed(Stage stage, Throwable cause) {
            result.complete("failed " + stage + " " + cause);
        }
    }
}
