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
import org.toucanlane.edge.http.ClientExchange;
import org.toucanlane.policy.retry.RetryPolicy;

/**
 * One sending of a request to an endpoint or another host.
 *
 * <p>Invariant: exactly one of the {@link Listener}'s ends is told, unless the attempt is cancelled. A plain answer is
 * passed on only when it is whole; of a stream, only whole events are. Used on the host's event loop only.
 */
final class Attempt implements ClientExchange {

    /** Longest plain answer; it is held in memory until it is whole. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;

    private final CallDialect dialect;
    private final AdmittedCall admitted;
    private final Upstream upstream;
    private final Listener listener;
    private final EventSplitter events;
    private final CompositeByteBuf collected = Unpooled.compositeBuffer(64);
    private ClientCall call;
    private HttpResponse head;
    private EndpointReply reply;
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
        this.events = new EventSplitter(lastEvent);
    }

    @Override
    public void started(ClientCall started) {
        call = started;
        if (done) {
            started.cancel();
        }
    }

    @Override
    public boolean head(HttpResponse response) {
        EndpointReply next = dialect.readReply(response);
        if (next.callId().isPresent()
                && !next.callId().get().equals(admitted.head().id())) {
            return false;
        }
        upstream.progressed();
        head = response;
        reply = next;
        refusal = upstream.refusalOf(response);
        streaming = admitted.route().kind() == CallKind.STREAM && next.isSuccess() && next.vouched();
        return true;
    }

    @Override
    public void data(ByteBuf content, boolean last) {
        if (done) {
            content.release();
            return;
        }
        upstream.progressed();
        if (streaming) {
            takeEvents(content, last);
        } else {
            collect(content, last);
        }
    }

    private void takeEvents(ByteBuf content, boolean last) {
        ByteBuf whole;
        try {
            whole = events.take(content);
        } catch (EventSplitter.BrokenStreamException e) {
            broke(e);
            return;
        }
        if (whole.isReadable()) {
            upstream.firstAnswer();
            listener.events(head, whole, events.lastId());
        }
        if (done) {
            return;
        }
        if (last && (events.hasRest() || events.events() == 0)) {
            broke(new IOException("the stream ended within an event or without one"));
        } else if (last) {
            end(Reservation.Result.COMPLETE);
            listener.complete();
        }
    }

    private void collect(ByteBuf content, boolean last) {
        if (content.isReadable()) {
            collected.addComponent(true, content);
        } else {
            content.release();
        }
        if (collected.readableBytes() > MAX_ANSWER_BYTES) {
            broke(new IOException("an answer exceeds " + MAX_ANSWER_BYTES + " bytes"));
        } else if (last) {
            takeWhole();
        }
    }

    private void takeWhole() {
        if (refusal.isPresent()) {
            end(Reservation.Result.GIVEN_UP);
            HopHeaders.HopRefusal said = refusal.get();
            listener.failed(said.repeatKind(), "host answered " + said.kind().code());
        } else if (reply.otherEndpoint()) {
            upstream.replaced();
            end(Reservation.Result.GIVEN_UP);
            listener.failed(RetryPolicy.FailureKind.REFUSED, "another endpoint has the address");
        } else if (reply.notRun()) {
            end(Reservation.Result.REFUSED);
            listener.failed(RetryPolicy.FailureKind.REFUSED, "the endpoint refused with " + reply.status());
        } else if (reply.isSuccess() && !reply.vouched()) {
            broke(new IOException("an answer of success isn't marked as the endpoint's"));
        } else {
            upstream.firstAnswer();
            boolean failed = reply.status() >= 500;
            end(failed ? Reservation.Result.FAILED : Reservation.Result.COMPLETE);
            listener.answered(head, reply, collected.retain());
        }
    }

    private void broke(Throwable cause) {
        end(Reservation.Result.FAILED);
        call.cancel();
        listener.failed(RetryPolicy.FailureKind.MAY_HAVE_RUN, String.valueOf(cause.getMessage()));
    }

    @Override
    public void failed(Stage stage, Throwable cause) {
        if (done) {
            return;
        }
        end(Reservation.Result.FAILED);
        listener.failed(
                stage == Stage.NOT_SENT ? RetryPolicy.FailureKind.NOT_SENT : RetryPolicy.FailureKind.MAY_HAVE_RUN,
                stage + " " + cause);
    }

    private void end(Reservation.Result result) {
        done = true;
        upstream.end(result);
    }

    /** Gives the attempt up; the listener hears nothing more. */
    void cancel() {
        if (!done) {
            ClientCall running = call;
            end(Reservation.Result.GIVEN_UP);
            if (running != null) {
                running.cancel();
            }
        }
    }

    /** Gives the attempt up since nothing comes; the listener hears of a failure. */
    void giveUpSilent() {
        if (!done) {
            ClientCall running = call;
            end(Reservation.Result.FAILED);
            if (running != null) {
                running.cancel();
            }
            listener.failed(RetryPolicy.FailureKind.MAY_HAVE_RUN, "nothing has come for too long");
        }
    }

    /** Releases what was collected. */
    void release() {
        collected.release();
    }

    /** Pauses or resumes the answer. */
    void setReading(boolean reading) {
        if (call != null) {
            call.setReading(reading);
        }
    }

    /** Returns where the request was sent. */
    Upstream upstream() {
        return upstream;
    }

    /** Hears of an attempt. */
    interface Listener {

        /** Whole events have come. The listener releases them. */
        void events(HttpResponse head, ByteBuf whole, long lastId);

        /** The stream has ended as it should. */
        void complete();

        /** A whole plain answer has come. The listener releases the body. */
        void answered(HttpResponse head, EndpointReply reply, ByteBuf body);

        /** The attempt has failed. */
        void failed(RetryPolicy.FailureKind kind, String cause);
    }
}
