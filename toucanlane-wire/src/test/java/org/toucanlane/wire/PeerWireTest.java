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
    /** Same as in a host's settings. A link closes after five unanswered heartbeats, which must not happen here. */
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final TestCallHandler callHandler = new TestCallHandler();
    private PeerNode server;
    private PeerNode client;

    @BeforeEach
    void start() throws InterruptedException {
        server = node("server");
        client = node("client");
        client.connect("server", server.address(), HEARTBEAT_INTERVAL);
        awaitLink(client, "server");
    }

    private PeerNode node(String host) throws InterruptedException {
        return new PeerNode(
                new InetSocketAddress("127.0.0.1", 0),
                new PeerIdentity(host, "d", 1),
                callHandler,
                Optional.empty(),
                threads);
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
        call.awaitHead(WAIT_MILLIS);
        ByteArrayOutputStream response = new ByteArrayOutputStream();
        ByteString chunk = call.next(WAIT_MILLIS);
        while (chunk != null) {
            response.writeBytes(chunk.toByteArray());
            chunk = call.next(WAIT_MILLIS);
        }
        return response.toString(StandardCharsets.UTF_8);
    }

    private static CallOpen callTo(String path, String body) {
        return CallOpen.newBuilder()
                .setPath(path)
                .setBody(ByteString.copyFromUtf8(body))
                .build();
    }

    @Test
    void concurrentCallsEachReceiveTheirOwnCompleteAnswer() throws Exception {
        PeerLink link = awaitLink(client, "server");
        List<PeerCall> calls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            calls.add(link.call(callTo("repeat", "answer-" + i + ";")));
        }
        for (int i = 0; i < 100; i++) {
            assertThat(readAll(calls.get(i))).isEqualTo(("answer-" + i + ";").repeat(50));
        }
    }

    @Test
    void senderStopsWhenReceiverDoesNotRead() throws Exception {
        PeerCall call = awaitLink(client, "server").call(callTo("endless", "x"));
        call.awaitHead(WAIT_MILLIS);
        long sentBefore;
        do {
            sentBefore = callHandler.sent;
            Thread.sleep(200);
        } while (callHandler.sent != sentBefore);
        assertThat(callHandler.sent).isLessThanOrEqualTo(PeerProtocol.CALL_WINDOW_BYTES + PeerProtocol.MAX_DATA_BYTES);
        call.close();
        assertThat(callHandler.cancelled.await(WAIT_MILLIS, TimeUnit.MILLISECONDS))
                .isTrue();
    }

    @Test
    void peerErrorCarriesItsKind() throws Exception {
        PeerCall call = awaitLink(client, "server").call(callTo("fail", ""));
        assertThatThrownBy(() -> call.awaitHead(WAIT_MILLIS)).isInstanceOfSatisfying(PeerCallException.class, e -> {
            assertThat(e.reason()).isEqualTo(PeerCallException.Reason.ENDED_BY_PEER);
            assertThat(e.errorKind()).isEqualTo("OVERLOADED");
            assertThat(e.retryAfterMillis()).isEqualTo(7);
        });
    }

    @Test
    void lostConnectionFailsTheCall() throws Exception {
        PeerCall call = awaitLink(client, "server").call(callTo("endless", "x"));
        call.awaitHead(WAIT_MILLIS);
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
    void hostWithUnexpectedNameReceivesNoCalls() throws Exception {
        client.connect("somebody-else", server.address(), HEARTBEAT_INTERVAL);
        Thread.sleep(300);
        assertThat(client.link("somebody-else").orElseThrow().isConnected()).isFalse();
        assertThatThrownBy(() -> client.link("somebody-else").orElseThrow().call(callTo("repeat", "x")))
                .isInstanceOf(PeerCallException.class);
    }

    @Test
    void sequenceGapOrPrematureEndFailsTheCall() throws Exception {
        PeerCall gap = new PeerCall(1, frame -> {}, () -> {});
        gap.deliver(headFrame());
        gap.deliver(dataFrame(1));
        gap.awaitHead(1);
        assertThatThrownBy(() -> gap.next(1)).isInstanceOf(PeerCallException.class);
        PeerCall prematureEnd = new PeerCall(2, frame -> {}, () -> {});
        prematureEnd.deliver(headFrame());
        prematureEnd.deliver(dataFrame(0));
        prematureEnd.deliver(Frame.newBuilder()
                .setCallEnd(CallEnd.newBuilder().setSequence(2))
                .build());
        prematureEnd.awaitHead(1);
        prematureEnd.next(1);
        assertThatThrownBy(() -> prematureEnd.next(1)).isInstanceOf(PeerCallException.class);
    }

    private static Frame headFrame() {
        return Frame.newBuilder()
                .setCallHead(CallHead.newBuilder().setStatus(200))
                .build();
    }

    private static Frame dataFrame(long sequence) {
        return Frame.newBuilder()
                .setCallData(CallData.newBuilder().setSequence(sequence).setData(ByteString.copyFromUtf8("x")))
                .build();
    }

    /** Sends random and malformed frames. The server may close those connections, but must keep serving others. */
    @Test
    void malformedFramesDoNotAffectOtherConnections() throws Exception {
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
        assertThat(readAll(awaitLink(client, "server").call(callTo("repeat", "still here"))))
                .startsWith("still here");
    }

    @Test
    void oversizedFrameClosesTheConnection() throws Exception {
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

    /** Serves calls according to their path: an error, an endless response or the body repeated 50 times. */
    private static final class TestCallHandler extends NoOpPeerHandler {

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
                        responder.sendHead(200, "text/plain");
                        for (int i = 0; i < 50; i++) {
                            responder.sendData(body, 0, body.length);
                        }
                        responder.complete();
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void endless(CallResponder responder) throws InterruptedException {
            responder.sendHead(200, "text/plain");
            byte[] chunk = new byte[1024];
            while (responder.sendData(chunk, 0, chunk.length)) {
                sent += chunk.length;
            }
            cancelled.countDown();
        }
    }
}
