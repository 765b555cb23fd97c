package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.CallKind;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.domain.serving.WeightedService;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ClientCall;
import org.toucanlane.edge.http.ExchangeListener;
import org.toucanlane.policy.retry.RetryPolicy;

/** Tests what an attempt reports to its upstream and to its listener. */
class AttemptTest {

    private static final String EVENT = "id: 1\ndata: x\n\n";
    private static final Duration HOLD_TIME = Duration.ofSeconds(7);

    private final Events events = new Events();

    private Attempt start(CallKind kind) {
        ServingRoute route = new ServingRoute(
                "r",
                "h",
                "/",
                kind,
                true,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Optional.empty(),
                OptionalInt.empty(),
                List.of(new WeightedService("s", 1)),
                1,
                true,
                false,
                Set.of());
        CallHead head = new CallHead(
                "id", "h", "/", OptionalLong.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        AdmittedCall admitted = new AdmittedCall(
                head,
                route,
                "s",
                Optional.empty(),
                Set.of(),
                0,
                1,
                0,
                Optional.empty(),
                1,
                new RouteBounds(0, Duration.ofSeconds(1)));
        Attempt attempt = new Attempt(new Dialect(), admitted, events, -1, new ResponseBuffers(1 << 20), events);
        attempt.onStarted(events);
        return attempt;
    }

    private static HttpResponse head(HttpResponseStatus status) {
        return new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    }

    private static HttpResponse chunkedHead() {
        HttpResponse head = head(HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void reportsConnectionsThatTheOtherSideClosedOrReset() {
        start(CallKind.STREAM).onFailed(ExchangeListener.Stage.SENT, new ClosedChannelException());
        start(CallKind.STREAM).onFailed(ExchangeListener.Stage.ANSWERING, new SocketException("Connection reset"));
        assertThat(events.upstreamEvents).containsExactly("lost", "lost while answering");
    }

    @Test
    void doesNotReportRefusedConnectionsAndFailuresOfThisHost() {
        start(CallKind.STREAM).onFailed(ExchangeListener.Stage.NOT_SENT, new ClosedChannelException());
        start(CallKind.STREAM).onFailed(ExchangeListener.Stage.ANSWERING, new IllegalStateException("a defect"));
        start(CallKind.STREAM).abandonStalled();
        start(CallKind.STREAM).giveUp("too many bytes are buffered");
        start(CallKind.STREAM).cancel();
        assertThat(events.upstreamEvents).isEmpty();
    }

    @Test
    void reportsAStreamThatEndsWithItsConnectionWithinAnEvent() {
        Attempt attempt = start(CallKind.STREAM);
        attempt.onHead(head(HttpResponseStatus.OK));
        attempt.onData(bytes(EVENT + "id: 2"), false);
        attempt.onData(Unpooled.EMPTY_BUFFER, true);
        assertThat(events.upstreamEvents).containsExactly("answer", "lost while answering");
    }

    /** A connection that stays open after an incomplete event says nothing about the endpoint's other connections. */
    @Test
    void doesNotReportALastChunkWithinAnEvent() {
        Attempt attempt = start(CallKind.STREAM);
        attempt.onHead(chunkedHead());
        attempt.onData(bytes(EVENT + "id: 2"), true);
        assertThat(events.upstreamEvents).containsExactly("answer");
    }

    @Test
    void takesAnAnswerForCompleteOnlyIfItsEndIsMarked() {
        Attempt chunked = start(CallKind.STREAM);
        chunked.onHead(chunkedHead());
        chunked.onData(bytes(EVENT), true);
        assertThat(events.upstreamEvents).containsExactly("answer", "complete");
        events.upstreamEvents.clear();
        Attempt closed = start(CallKind.STREAM);
        closed.onHead(head(HttpResponseStatus.OK));
        closed.onData(bytes(EVENT), true);
        assertThat(events.upstreamEvents).containsExactly("answer", "ended with connection");
        events.upstreamEvents.clear();
        Attempt plain = start(CallKind.IDEMPOTENT);
        plain.onHead(head(HttpResponseStatus.OK));
        plain.onData(bytes("done"), true);
        assertThat(events.upstreamEvents).containsExactly("answer", "ended with connection");
    }

    @Test
    void takesNoErrorResponseAndNoCommentForAnAnswer() {
        Attempt failed = start(CallKind.IDEMPOTENT);
        failed.onHead(head(HttpResponseStatus.INTERNAL_SERVER_ERROR));
        failed.onData(bytes("failed"), true);
        Attempt stream = start(CallKind.STREAM);
        stream.onHead(chunkedHead());
        stream.onData(bytes(": waiting\n\n"), false);
        assertThat(events.upstreamEvents).isEmpty();
    }

    /** A prompt that one host holds back must not be offered to the next. */
    @Test
    void passesOnAQuarantineOfAnotherHostWithItsTime() {
        events.refusal = Optional.of(new HopHeaders.HopRefusal(ErrorKind.PROMPT_QUARANTINED, false));
        Attempt attempt = start(CallKind.IDEMPOTENT);
        attempt.onHead(head(HttpResponseStatus.SERVICE_UNAVAILABLE));
        attempt.onData(Unpooled.EMPTY_BUFFER, true);
        assertThat(events.refused).isPresent();
        assertThat(events.refused.get().kind()).isEqualTo(ErrorKind.PROMPT_QUARANTINED);
        assertThat(events.refused.get().retryAfter()).isEqualTo(HOLD_TIME);
        assertThat(events.failures).isEmpty();
    }

    @Test
    void reportsOtherRefusalsOfAnotherHostAsFailures() {
        events.refusal = Optional.of(new HopHeaders.HopRefusal(ErrorKind.OVERLOADED, false));
        Attempt attempt = start(CallKind.IDEMPOTENT);
        attempt.onHead(head(HttpResponseStatus.SERVICE_UNAVAILABLE));
        attempt.onData(Unpooled.EMPTY_BUFFER, true);
        assertThat(events.failures).containsExactly(RetryPolicy.FailureKind.NOT_SENT);
        assertThat(events.refused).isEmpty();
    }

    /** Reads each response as a sealed one of an endpoint, with a fixed time after which to retry. */
    private static final class Dialect implements CallDialect {

        @Override
        public String requestId(HttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CallHead readRequest(HttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public HttpHeaders endpointHeaders(HttpRequest request, EndpointRequest endpointRequest) {
            throw new UnsupportedOperationException();
        }

        @Override
        public HttpHeaders hopHeaders(HttpRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public EndpointResponse readResponse(HttpResponse response) {
            return new EndpointResponse(
                    response.status().code(),
                    Optional.empty(),
                    false,
                    false,
                    false,
                    Optional.of(HOLD_TIME),
                    OptionalDouble.empty(),
                    true);
        }

        @Override
        public HttpHeaders responseHeaders(HttpResponse response) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FullHttpResponse refusalResponse(Refusal refusal) {
            throw new UnsupportedOperationException();
        }
    }

    /** Records what an attempt reports. */
    private static final class Events implements Upstream, Attempt.Listener, ClientCall {

        private final List<String> upstreamEvents = new ArrayList<>();
        private final List<RetryPolicy.FailureKind> failures = new ArrayList<>();
        private Optional<HopHeaders.HopRefusal> refusal = Optional.empty();
        private Optional<CallRefusedException> refused = Optional.empty();

        @Override
        public void send(FullHttpRequest request, ExchangeListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<HopHeaders.HopRefusal> readRefusal(HttpResponse response) {
            return refusal;
        }

        @Override
        public void recordAnswer() {
            upstreamEvents.add("answer");
        }

        @Override
        public void recordCompleteAnswer() {
            upstreamEvents.add("complete");
        }

        @Override
        public void recordEndWithConnection() {
            upstreamEvents.add("ended with connection");
        }

        @Override
        public void recordConnectionLost(boolean answering) {
            upstreamEvents.add(answering ? "lost while answering" : "lost");
        }

        @Override
        public void onRefused(CallRefusedException exception) {
            refused = Optional.of(exception);
        }

        @Override
        public void onAttemptFailed(RetryPolicy.FailureKind kind, String cause) {
            failures.add(kind);
        }

        @Override
        public void onEvents(HttpResponse head, ByteBuf complete, long lastId) {
            complete.release();
        }

        @Override
        public void onResponse(HttpResponse head, EndpointResponse endpointResponse, ByteBuf body) {
            body.release();
        }

        @Override
        public void onStreamComplete() {}

        @Override
        public void recordProgress() {}

        @Override
        public void recordFirstResponse() {}

        @Override
        public void release(Reservation.Outcome result) {}

        @Override
        public void markLeaving() {}

        @Override
        public void pause(Duration time) {}

        @Override
        public void recordRequestLimit(OptionalDouble requestsPerSecond) {}

        @Override
        public void markReplaced() {}

        @Override
        public String name() {
            return "e";
        }

        @Override
        public boolean isHost() {
            return false;
        }

        @Override
        public void cancel() {}

        @Override
        public void setAutoRead(boolean reading) {}
    }
}
