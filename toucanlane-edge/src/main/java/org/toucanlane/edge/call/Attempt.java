package org.toucanlane.edge.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.util.Optional;
import org.toucanlane.domain.serving.CallKind;
import org.toucanlane.edge.fleet.Reservation;
import org.toucanlane.edge.http.ClientCall;
import org.toucanlane.edge.http.ExchangeListener;
import org.toucanlane.policy.retry.RepeatRule;

/**
 * One sending of a request to an endpoint or another host.
 *
 * <p>Invariant: exactly one of the {@link Listener}'s ends is told, unless the attempt is cancelled. A plain answer is
 * passed on only when it is whole; of a stream, only whole events are. Used on the host's event loop only.
 */
final class Attempt implements ExchangeListener {

    /** Longest plain answer; it is held in memory until it is whole. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final CallDialect dialect;
    private final AdmittedCall admitted;
    private final Upstream upstream;
    private final Listener listener;
    private final EventSplitter splitter;
    private final CompositeByteBuf bufferedBody = Unpooled.compositeBuffer(64);
    private ClientCall call;
    private HttpResponse head;
    private EndpointResponse endpointResponse;
    private Optional<HopHeaders.HopRefusal> refusal = Optional.empty();
    private boolean streaming;
    private boolean done;

    /**
     * Creates an attempt that is not sent.
     *
     * @param lastEvent id of the last event that the caller has, or -1
     */
    Attempt(CallDialect dialect, AdmittedCall admitted, Upstream upstream, long lastEvent, Listener listener) {
        this.dialect = dialect;
        this.admitted = admitted;
        this.upstream = upstream;
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
    public boolean onHead(HttpResponse response) {
        EndpointResponse next = dialect.readResponse(response);
        if (next.requestId().isPresent()
                && !next.requestId().get().equals(admitted.head().id())) {
            return false;
        }
        upstream.recordProgress();
        head = response;
        endpointResponse = next;
        refusal = upstream.readRefusal(response);
        streaming = admitted.route().kind() == CallKind.STREAM && next.isSuccess() && next.hasSeal();
        return true;
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
        ByteBuf whole;
        try {
            whole = splitter.split(content);
        } catch (EventSplitter.MalformedStreamException e) {
            failInvalidResponse(e);
            return;
        }
        if (whole.isReadable()) {
            upstream.recordFirstResponse();
            listener.onEvents(head, whole, splitter.lastId());
        }
        if (done) {
            return;
        }
        if (last && (splitter.hasPartialEvent() || splitter.eventCount() == 0)) {
            failInvalidResponse(new IOException("the stream ended within an event or without one"));
        } else if (last) {
            finish(Reservation.Result.COMPLETE);
            listener.onStreamComplete();
        }
    }

    private void bufferBody(ByteBuf content, boolean last) {
        if (content.isReadable()) {
            bufferedBody.addComponent(true, content);
        } else {
            content.release();
        }
        if (bufferedBody.readableBytes() > MAX_RESPONSE_BYTES) {
            failInvalidResponse(new IOException("an answer exceeds " + MAX_RESPONSE_BYTES + " bytes"));
        } else if (last) {
            handleCompleteResponse();
        }
    }

    private void handleCompleteResponse() {
        if (refusal.isPresent()) {
            finish(Reservation.Result.GIVEN_UP);
            HopHeaders.HopRefusal said = refusal.get();
            listener.onAttemptFailed(
                    said.repeatKind(), "host answered " + said.kind().word());
        } else if (endpointResponse.misdirected()) {
            upstream.markReplaced();
            finish(Reservation.Result.GIVEN_UP);
            listener.onAttemptFailed(RepeatRule.Kind.REFUSED, "another endpoint has the address");
        } else if (endpointResponse.notExecuted()) {
            finish(Reservation.Result.REFUSED);
            listener.onAttemptFailed(RepeatRule.Kind.REFUSED, "the endpoint refused with " + endpointResponse.status());
        } else if (endpointResponse.isSuccess() && !endpointResponse.hasSeal()) {
            failInvalidResponse(new IOException("an answer of success isn't marked as the endpoint's"));
        } else {
            upstream.recordFirstResponse();
            boolean failed = endpointResponse.status() >= 500;
            finish(failed ? Reservation.Result.FAILED : Reservation.Result.COMPLETE);
            listener.onResponse(head, endpointResponse, bufferedBody.retain());
        }
    }

    private void failInvalidResponse(Throwable cause) {
        finish(Reservation.Result.FAILED);
        call.cancel();
        listener.onAttemptFailed(RepeatRule.Kind.MAY_HAVE_RUN, String.valueOf(cause.getMessage()));
    }

    @Override
    public void onFailed(Stage stage, Throwable cause) {
        if (done) {
            return;
        }
        finish(Reservation.Result.FAILED);
        listener.onAttemptFailed(
                stage == Stage.NOT_SENT ? RepeatRule.Kind.NOT_SENT : RepeatRule.Kind.MAY_HAVE_RUN, stage + " " + cause);
    }

    private void finish(Reservation.Result result) {
        done = true;
        upstream.release(result);
    }

    /** Gives the attempt up; the listener hears nothing more. */
    void cancel() {
        if (!done) {
            ClientCall running = call;
            finish(Reservation.Result.GIVEN_UP);
            if (running != null) {
                running.cancel();
            }
        }
    }

    /** Gives the attempt up since nothing comes; the listener hears of a failure. */
    void abandonStalled() {
        if (!done) {
            ClientCall running = call;
            finish(Reservation.Result.FAILED);
            if (running != null) {
                running.cancel();
            }
            listener.onAttemptFailed(RepeatRule.Kind.MAY_HAVE_RUN, "nothing has come for too long");
        }
    }

    /** Releases what was collected. */
    void release() {
        bufferedBody.release();
    }

    /** Pauses or resumes the answer. */
    void setAutoRead(boolean reading) {
        if (call != null) {
            call.setAutoRead(reading);
        }
    }

    /** Returns where the request was sent. */
    Upstream upstream() {
        return upstream;
    }

    /** Hears of an attempt. */
    interface Listener {

        /** Whole events have come. The listener releases them. */
        void onEvents(HttpResponse head, ByteBuf whole, long lastId);

        /** The stream has ended as it should. */
        void onStreamComplete();

        /** A whole plain answer has come. The listener releases the body. */
        void onResponse(HttpResponse head, EndpointResponse reply, ByteBuf body);

        /** The attempt has failed. */
        void onAttemptFailed(RepeatRule.Kind kind, String cause);
    }
}
