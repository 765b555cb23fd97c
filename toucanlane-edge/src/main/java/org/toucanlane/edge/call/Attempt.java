package org.toucanlane.edge.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.toucanlane.domain.serving.CallKind;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ClientCall;
import org.toucanlane.edge.http.ExchangeListener;
import org.toucanlane.edge.http.MalformedResponseException;
import org.toucanlane.edge.http.ResponseMatch;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * A single attempt to send a request to an endpoint or to another host.
 *
 * <p>Invariant: exactly one terminal method of the {@link Listener} is called, unless the attempt is cancelled. A
 * response that isn't a stream is delivered only when it is complete; of a stream, only complete events are delivered.
 * Used on the host's event loop only.
 */
final class Attempt implements ExchangeListener, ResponseBuffers.Buffer {

    /** Maximum size of a response that isn't a stream; it is buffered in memory until it is complete. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final CallDialect dialect;
    private final AdmittedCall admitted;
    private final Upstream upstream;
    private final Listener listener;
    private final EventSplitter splitter;
    private final ResponseBuffers buffers;
    private final ByteBuf bufferedBody = Unpooled.buffer(0);
    private ClientCall call;
    private HttpResponse head;
    private EndpointResponse endpointResponse;
    private Optional<HopHeaders.HopRefusal> refusal = Optional.empty();
    private boolean streaming;
    private boolean done;

    /**
     * Creates an attempt without sending the request.
     *
     * @param lastEvent id of the last event that the caller has received, or -1
     */
    Attempt(
            CallDialect dialect,
            AdmittedCall admitted,
            Upstream upstream,
            long lastEvent,
            ResponseBuffers buffers,
            Listener listener) {
        this.dialect = dialect;
        this.admitted = admitted;
        this.upstream = upstream;
        this.buffers = buffers;
        this.listener = listener;
        this.splitter = new EventSplitter(lastEvent);
    }

    @Override
    public void onStarted(ClientCall started) {
        call = started;
        if (done) {
            started.cancel();
        }
    }

    @Override
    public ResponseMatch onHead(HttpResponse response) {
        EndpointResponse parsed = dialect.readResponse(response);
        if (parsed.leaving()) {
            upstream.markLeaving();
        }
        ResponseMatch match = match(parsed);
        if (match == ResponseMatch.OTHER) {
            return match;
        }
        upstream.recordProgress();
        if (match == ResponseMatch.OWN) {
            upstream.recordRequestLimit(parsed.requestLimit());
        }
        head = response;
        endpointResponse = parsed;
        refusal = upstream.readRefusal(response);
        streaming = admitted.route().kind() == CallKind.STREAM && parsed.isSuccess() && parsed.hasSeal();
        return match;
    }

    /** Determines by the request id whether a response belongs to this attempt. Other hosts answer in order. */
    private ResponseMatch match(EndpointResponse response) {
        String id = admitted.head().id();
        if (response.requestId().isPresent()) {
            return response.requestId().get().equals(id) ? ResponseMatch.OWN : ResponseMatch.OTHER;
        }
        return upstream.isHost() || id.isEmpty() ? ResponseMatch.OWN : ResponseMatch.UNKNOWN;
    }

    @Override
    public void onData(ByteBuf content, boolean last) {
        if (done) {
            content.release();
            return;
        }
        upstream.recordProgress();
        if (streaming) {
            forwardEvents(content, last);
        } else {
            bufferBody(content, last);
        }
    }

    private void forwardEvents(ByteBuf content, boolean last) {
        ByteBuf complete;
        try {
            complete = splitter.split(content);
        } catch (EventSplitter.MalformedStreamException e) {
            failInvalidResponse(e);
            return;
        }
        if (complete.isReadable()) {
            upstream.recordFirstResponse();
            if (splitter.eventCount() > 0) {
                upstream.recordAnswer();
            }
            listener.onEvents(head, complete, splitter.lastId());
        }
        if (done) {
            return;
        }
        if (!last) {
            buffers.update(this, splitter.partialEventBytes());
        } else if (splitter.isInsideEvent() || splitter.eventCount() == 0) {
            if (!isSelfDelimited()) {
                upstream.recordConnectionLost(true);
            }
            failInvalidResponse(new IOException("event stream ended inside an event or without a new event id"));
        } else {
            if (splitter.partialEventBytes() > 0) {
                listener.onEvents(head, splitter.takeRemainder(), splitter.lastId());
            }
            recordCompleteAnswer();
            finish(Reservation.Outcome.COMPLETE);
            listener.onStreamComplete();
        }
    }

    private void bufferBody(ByteBuf content, boolean last) {
        int size = bufferedBody.readableBytes() + content.readableBytes();
        if (size > MAX_RESPONSE_BYTES) {
            content.release();
            failInvalidResponse(new IOException("response exceeds the limit of " + MAX_RESPONSE_BYTES + " bytes"));
            return;
        }
        if (content.isReadable() && endpointResponse.isSuccess()) {
            upstream.recordAnswer();
        }
        // Copies the bytes, since a slice keeps the whole buffer of a socket read, however few bytes it holds.
        bufferedBody.writeBytes(content);
        content.release();
        if (last) {
            handleCompleteResponse();
        } else {
            buffers.update(this, size);
        }
    }

    private void handleCompleteResponse() {
        endpointResponse.retryAfter().ifPresent(upstream::pause);
        if (refusal.isPresent()) {
            finish(Reservation.Outcome.CANCELLED);
            handleHopRefusal(refusal.get());
        } else if (endpointResponse.misdirected()) {
            upstream.markReplaced();
            finish(Reservation.Outcome.CANCELLED);
            listener.onAttemptFailed(
                    RetryPolicy.FailureKind.REFUSED, "address now belongs to another endpoint (misdirected request)");
        } else if (endpointResponse.notExecuted()) {
            finish(Reservation.Outcome.REJECTED);
            listener.onAttemptFailed(
                    RetryPolicy.FailureKind.REFUSED,
                    "endpoint refused the request with HTTP status " + endpointResponse.status());
        } else if (endpointResponse.isSuccess() && !endpointResponse.hasSeal()) {
            failInvalidResponse(new IOException("successful response lacks the seal of the endpoint"));
        } else {
            upstream.recordFirstResponse();
            boolean failed = endpointResponse.isServerError();
            if (endpointResponse.isSuccess()) {
                recordCompleteAnswer();
            }
            finish(failed ? Reservation.Outcome.FAILED : Reservation.Outcome.COMPLETE);
            listener.onResponse(head, endpointResponse, bufferedBody.retain());
        }
    }

    private void handleHopRefusal(HopHeaders.HopRefusal hopRefusal) {
        String cause = "target host refused the request: " + hopRefusal.kind().code();
        if (hopRefusal.appliesToAllHosts()) {
            listener.onRefused(new CallRefusedException(
                    hopRefusal.kind(), endpointResponse.retryAfter().orElse(Duration.ZERO), cause));
        } else {
            listener.onAttemptFailed(hopRefusal.repeatKind(), cause);
        }
    }

    private void recordCompleteAnswer() {
        if (isSelfDelimited()) {
            upstream.recordCompleteAnswer();
        } else {
            // The answer may have been cut off by a crash.
            upstream.recordEndWithConnection();
        }
    }

    private boolean isSelfDelimited() {
        return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    }

    private void failInvalidResponse(Throwable cause) {
        finish(Reservation.Outcome.FAILED);
        call.cancel();
        listener.onAttemptFailed(RetryPolicy.FailureKind.MAY_HAVE_RUN, String.valueOf(cause.getMessage()));
    }

    @Override
    public void onFailed(Stage stage, Throwable cause) {
        if (done) {
            return;
        }
        boolean connectionLost = cause instanceof IOException && !(cause instanceof MalformedResponseException);
        if (stage != Stage.NOT_SENT && connectionLost) {
            upstream.recordConnectionLost(stage == Stage.ANSWERING);
        }
        finish(Reservation.Outcome.FAILED);
        listener.onAttemptFailed(
                stage == Stage.NOT_SENT ? RetryPolicy.FailureKind.NOT_SENT : RetryPolicy.FailureKind.MAY_HAVE_RUN,
                stage + " " + cause);
    }

    @Override
    public void giveUp(String reason) {
        if (!done) {
            failInvalidResponse(new IOException(reason));
        }
    }

    private void finish(Reservation.Outcome result) {
        done = true;
        buffers.remove(this);
        upstream.release(result);
    }

    /** Cancels the attempt without notifying the listener. */
    void cancel() {
        cancel(Reservation.Outcome.CANCELLED);
    }

    /** Cancels the attempt, whose upstream was silent for too long, without notifying the listener. */
    void abandonStalled() {
        cancel(Reservation.Outcome.FAILED);
    }

    private void cancel(Reservation.Outcome outcome) {
        if (!done) {
            ClientCall activeCall = call;
            finish(outcome);
            if (activeCall != null) {
                activeCall.cancel();
            }
        }
    }

    /** Releases the buffered response body. */
    void release() {
        bufferedBody.release();
    }

    /** Pauses or resumes reading of the response. */
    void setAutoRead(boolean reading) {
        if (call != null) {
            call.setAutoRead(reading);
        }
    }

    /** Returns the upstream to which the request was sent. */
    Upstream upstream() {
        return upstream;
    }

    /** Receives the events and the outcome of an attempt. */
    interface Listener {

        /** Called with complete events of a stream. The listener releases {@code events}. */
        void onEvents(HttpResponse head, ByteBuf events, long lastId);

        /** Called when the stream has ended normally. */
        void onStreamComplete();

        /** Called with a complete response that isn't a stream. The listener releases {@code body}. */
        void onResponse(HttpResponse head, EndpointResponse endpointResponse, ByteBuf body);

        /** Called when another host has refused the request for a reason that applies to all hosts. */
        void onRefused(CallRefusedException refusal);

        /** Called when the attempt has failed. */
        void onAttemptFailed(RetryPolicy.FailureKind kind, String cause);
    }
}
