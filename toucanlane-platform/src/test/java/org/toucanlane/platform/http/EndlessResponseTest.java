package org.toucanlane.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that the daemon's clients close a connection on which bytes come without end: see docs/incidents/0011. */
@Timeout(30)
class EndlessResponseTest {

    /** Above the longest response that a client accepts and what the sockets buffer. */
    private static final long MAX_SENT_BYTES = 16 << 20;

    private static final Duration MAX_TIME = Client.TIMEOUT.multipliedBy(5);
    private static final Duration WRITE_INTERVAL = Client.TIMEOUT.dividedBy(20);
    private static final int COPIES = 500;

    /** The part of a response that does not end. */
    private enum EndlessForm {
        BLANK_LINES("", "\r\n"),
        CONTROL_CHARACTERS("", "\u0001"),
        TEXT("", "x"),
        LINES("", "x\r\n"),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        HEADER_NAME("HTTP/1.1 200 OK\r\n", "x"),
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
        FOLDED_HEADER("HTTP/1.1 200 OK\r\nX-Long: x\r\n", " x\r\n"),
        HEADERS("HTTP/1.1 200 OK\r\n", "X-More: x\r\n"),
        INFORMATIONAL_RESPONSES("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        CHUNK_SIZE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"),
        TRAILERS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n"),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\nX-Revision: 7\r\n\r\n", "x"),
        LONG_BODY("HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: 2000000000\r\n\r\n", "x"),
        CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "64\r\n" + "x".repeat(100) + "\r\n"),
        ERROR_BODY("HTTP/1.1 500 X\r\n\r\n", "x");

        private final String start;
        private final String repeated;

        EndlessForm(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }

        /** Returns whether the client passes the body of this response on as it comes, so that its reader ends it. */
        private boolean isStreamedBy(Client client) {
            boolean body = this == BODY_WITHOUT_LENGTH || this == LONG_BODY || this == CHUNKS || this == ERROR_BODY;
            return body && client == Client.ENDPOINT_REQUEST;
        }
    }

    private static Stream<Arguments> cases() {
        return Stream.of(Client.values())
                .flatMap(client -> Stream.of(EndlessForm.values())
                        .filter(form -> !form.isStreamedBy(client))
                        .map(form -> Arguments.of(client, form)));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void closesTheConnection(Client client, EndlessForm form) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        AtomicLong sent = new AtomicLong();
        ScriptedServer.Script script = (exchange, out) -> {
            try {
                out.write(form.start);
                String block = form.repeated.repeat(COPIES);
                while (sent.addAndGet(block.length()) < MAX_SENT_BYTES) {
                    out.write(block);
                }
            } finally {
                closed.countDown();
            }
        };
        try (ScriptedServer server = new ScriptedServer(script);
                Client.Caller caller = client.open(server.address())) {
            CompletableFuture<String> outcome = CompletableFuture.supplyAsync(caller::send);
            assertThat(closed.await(MAX_TIME.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
            assertThat(sent.get()).as("bytes sent until the client closed").isLessThan(MAX_SENT_BYTES);
            assertThat(outcome.get(MAX_TIME.toMillis(), TimeUnit.MILLISECONDS)).startsWith(Client.Caller.FAILED);
        }
    }

    /** Each byte comes within the time-out of a read. */
    @Test
    void closesTheConnectionIfTheBytesComeSlowly() throws Exception {
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Callable<Void>> cases = Stream.of(Client.values())
                .flatMap(client -> Stream.of(
                                EndlessForm.STATUS_LINE,
                                EndlessForm.INFORMATIONAL_RESPONSES,
                                EndlessForm.BODY_WITHOUT_LENGTH)
                        .filter(form -> !form.isStreamedBy(client))
                        .<Callable<Void>>map(form -> () -> expectCloseOfSlowResponse(client, form, callers)))
                .toList();
        for (Future<Void> done : callers.invokeAll(cases)) {
            done.get();
        }
        callers.shutdownNow();
    }

    private static Void expectCloseOfSlowResponse(Client client, EndlessForm form, Executor callers) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedServer.Script script = (exchange, out) -> {
            try {
                out.write(form.start);
                while (true) {
                    out.write(form.repeated);
                    sleep();
                }
            } finally {
                closed.countDown();
            }
        };
        try (ScriptedServer server = new ScriptedServer(script);
                Client.Caller caller = client.open(server.address())) {
            CompletableFuture<String> outcome = CompletableFuture.supplyAsync(caller::send, callers);
            assertThat(outcome.get(MAX_TIME.toMillis(), TimeUnit.MILLISECONDS)).startsWith(Client.Caller.FAILED);
            assertThat(closed.await(MAX_TIME.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
        }
        return null;
    }

    private static void sleep() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(WRITE_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
