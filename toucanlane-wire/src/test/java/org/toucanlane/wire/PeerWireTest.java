package org.toucanlane.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.wire.proto.CallData;
import org.toucanlane.wire.proto.CallEnd;
import org.toucanlane.wire.proto.CallHead;
import org.toucanlane.wire.proto.CallOpen;
import org.toucanlane.wire.proto.Frame;

class PeerWireTest {

    private static final long WAIT_MILLIS = 10_000;
    /** As long as in a host's settings: a link closes after five unanswered heartbeats, and none is meant to here. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Echo echo = new Echo();
    private PeerNode server;
    private PeerNode client;

    @BeforeEach
    void start() throws InterruptedException {
        server = node("server");
        client = node("client");
        client.connect("server", server.address(), INTERVAL);
        awaitLink(client, "server");
    }

    private PeerNode node(String host) throws InterruptedException {
        return new PeerNode(
                new InetSocketAddress("127.0.0.1", 0), new PeerIdentity(host, "d", 1), echo, Optional.empty(), threads);
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        threads.shutdownNow();
    }

    private static PeerLink awaitLink(PeerNode node, String peer) throws InterruptedException {
        while (node.link(peer).filter(PeerLink::isConnected).isEmpty()) {
            Thread.sleep(5);
        }
        return node.link(peer).orElseThrow();
    }

    private static String readAll(PeerCall call) throws PeerCallException, InterruptedException {
        call.head(WAIT_MILLIS);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        ByteString piece = call.next(WAIT_MILLIS);
        while (piece != null) {
            all.writeBytes(piece.toByteArray());
            piece = call.next(WAIT_MILLIS);
        }
        return all.toString(StandardCharsets.UTF_8);
    }

    private static CallOpen open(String path, String body) {
        return CallOpen.newBuilder()
                .setPath(path)
                .setBody(ByteString.copyFromUtf8(body))
                .build();
    }

    @Test
    void manyCallsAtOnceEachGetTheirOwnWholeAnswer() throws Exception {
        PeerLink link = awaitLink(client, "server");
        List<PeerCall> calls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            calls.add(link.call(open("repeat", "answer-" + i + ";")));
        }
        for (int i = 0; i < 100; i++) {
            assertThat(readAll(calls.get(i))).isEqualTo(("answer-" + i + ";").repeat(50));
        }
    }

    @Test
    void aReaderThatDoesNotReadStopsTheSender() throws Exception {
        PeerCall call = awaitLink(client, "server").call(open("endless", "x"));
        call.head(WAIT_MILLIS);
        long before;
        do {
            before = echo.sent;
            Thread.sleep(200);
        } while (echo.sent != before);
        assertThat(echo.sent).isLessThanOrEqualTo(PeerProtocol.CALL_WINDOW_BYTES + PeerProtocol.MAX_DATA_BYTES);
        call.close();
        assertThat(echo.cancelled.await(WAIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void anErrorOfThePeerComesWithItsKind() throws Exception {
        PeerCall call = awaitLink(client, "server").call(open("fail", ""));
        assertThatThrownBy(() -> call.head(WAIT_MILLIS)).isInstanceOfSatisfying(PeerCallException.class, e -> {
            assertThat(e.reason()).isEqualTo(PeerCallException.Reason.ENDED_BY_PEER);
            assertThat(e.errorKind()).isEqualTo("OVERLOADED");
            assertThat(e.retryAfterMillis()).isEqualTo(7);
        });
    }

    @Test
    void aLostConnectionBreaksTheCall() throws Exception {
        PeerCall call = awaitLink(client, "server").call(open("endless", "x"));
        call.head(WAIT_MILLIS);
        client.disconnect("server");
        assertThatThrownBy(() -> {
                    while (true) {
                        call.next(WAIT_MILLIS);
                    }
                })
                .isInstanceOfSatisfying(
                        PeerCallException.class,
                        e -> assertThat(e.reason()).isEqualTo(PeerCallException.Reason.BROKEN));
    }

    @Test
    void aHostUnderAnotherNameGetsNoCalls() throws Exception {
        client.connect("somebody-else", server.address(), INTERVAL);
        Thread.sleep(300);
        assertThat(client.link("somebody-else").orElseThrow().isConnected()).isFalse();
        assertThatThrownBy(() -> client.link("somebody-else").orElseThrow().call(open("repeat", "x")))
                .isInstanceOf(PeerCallException.class);
    }

    @Test
    void aPieceOutOfOrderOrAnEndTooEarlyIsNeverTakenForWhole() throws Exception {
        PeerCall gap = new PeerCall(1, frame -> {}, () -> {});
        gap.deliver(head());
        gap.deliver(data(1));
        gap.head(1);
        assertThatThrownBy(() -> gap.next(1)).isInstanceOf(PeerCallException.class);
        PeerCall early = new PeerCall(2, frame -> {}, () -> {});
        early.deliver(head());
        early.deliver(data(0));
        early.deliver(Frame.newBuilder()
                .setCallEnd(CallEnd.newBuilder().setSequence(2))
                .build());
        early.head(1);
        early.next(1);
        assertThatThrownBy(() -> early.next(1)).isInstanceOf(PeerCallException.class);
    }

    private static Frame head() {
        return Frame.newBuilder()
                .setCallHead(CallHead.newBuilder().setStatus(200))
                .build();
    }

    private static Frame data(long sequence) {
        return Frame.newBuilder()
                .setCallData(CallData.newBuilder().setSequence(sequence).setData(ByteString.copyFromUtf8("x")))
                .build();
    }

    /** Random and damaged frames: the connection may be closed, the server goes on serving others. */
    @Test
    void garbageHarmsNobodyElse() throws Exception {
        Random random = new Random(20261204);
        for (int i = 0; i < 200; i++) {
            try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
                OutputStream out = socket.getOutputStream();
                byte[] garbage = new byte[random.nextInt(300)];
                random.nextBytes(garbage);
                if (random.nextBoolean()) {
                    out.write(ByteBuffer.allocate(4).putInt(garbage.length).array());
                }
                out.write(garbage);
                out.flush();
            }
        }
        assertThat(readAll(awaitLink(client, "server").call(open("repeat", "still here"))))
                .startsWith("still here");
    }

    @Test
    void aFrameThatIsTooLongClosesTheConnection() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
            socket.setSoTimeout((int) WAIT_MILLIS);
            socket.getOutputStream()
                    .write(ByteBuffer.allocate(4)
                            .putInt(PeerProtocol.MAX_FRAME_BYTES + 1)
                            .array());
            InputStream in = socket.getInputStream();
            assertThat(in.read()).isEqualTo(-1);
        }
    }

    /** Answers calls by their path. */
    private static final class Echo extends SilentHandler {

        private final CountDownLatch cancelled = new CountDownLatch(1);
        private volatile long sent;

        @Override
        public void onCall(PeerIdentity from, CallOpen call, CallResponder responder) {
            byte[] body = call.getBody().toByteArray();
            try {
                switch (call.getPath()) {
                    case "fail" -> responder.fail("OVERLOADED", "no", 7);
                    case "endless" -> endless(responder);
                    default -> {
                        responder.head(200, "text/plain");
                        for (int i = 0; i < 50; i++) {
                            responder.data(body, 0, body.length);
                        }
                        responder.end();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void endless(CallResponder responder) throws InterruptedException {
            responder.head(200, "text/plain");
            byte[] piece = new byte[1024];
            while (responder.data(piece, 0, piece.length)) {
                sent += piece.length;
            }
            cancelled.countDown();
        }
    }
}
