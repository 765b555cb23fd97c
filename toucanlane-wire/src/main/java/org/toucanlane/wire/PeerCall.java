package org.toucanlane.wire;

import com.google.protobuf.ByteString;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.toucanlane.wire.proto.CallCancel;
import org.toucanlane.wire.proto.CallCredit;
import org.toucanlane.wire.proto.CallData;
import org.toucanlane.wire.proto.CallEnd;
import org.toucanlane.wire.proto.CallHead;
import org.toucanlane.wire.proto.Frame;

/**
 * Client side of one call between hosts.
 *
 * <p>Invariant: chunks are returned in sequence order without gaps, and the end only after all of them. At most
 * {@link PeerProtocol#CALL_WINDOW_BYTES} plus one chunk are buffered. The response is read by a single thread.
 */
public final class PeerCall implements AutoCloseable {

    private static final int CREDIT_THRESHOLD_BYTES = PeerProtocol.CALL_WINDOW_BYTES / 4;

    private final long streamId;
    private final Consumer<Frame> sender;
    private final Runnable onClose;
    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private long nextSequence;
    private long uncreditedBytes;
    private boolean ended;

    PeerCall(long streamId, Consumer<Frame> sender, Runnable onClose) {
        this.streamId = streamId;
        this.sender = sender;
        this.onClose = onClose;
    }

    void deliver(Frame frame) {
        frames.add(frame);
    }

    void connectionLost() {
        frames.add(Frame.newBuilder().setStreamId(streamId).build());
    }

    /**
     * Waits for the status and content type of the response.
     *
     * @throws PeerCallException if the call ended without a response, the connection was lost or the wait timed out
     */
    public CallHead awaitHead(long timeoutMillis) throws PeerCallException, InterruptedException {
        Frame frame = takeFrame(timeoutMillis);
        if (frame.hasCallHead()) {
            return frame.getCallHead();
        }
        if (frame.hasCallEnd()) {
            ended = true;
            throw PeerCallException.endedByPeer(frame.getCallEnd());
        }
        throw PeerCallException.broken("the answer of stream " + streamId + " does not start with its head");
    }

    /**
     * Returns the next chunk of the response body, or null at the end of the body.
     *
     * @throws PeerCallException if the response is incomplete, the peer ended the call with an error or the wait timed
     *     out
     */
    public ByteString next(long timeoutMillis) throws PeerCallException, InterruptedException {
        Frame frame = takeFrame(timeoutMillis);
        if (frame.hasCallData()) {
            return acceptData(frame.getCallData());
        }
        if (frame.hasCallEnd()) {
            return acceptEnd(frame.getCallEnd());
        }
        throw PeerCallException.broken("unexpected message on stream " + streamId);
    }

    private Frame takeFrame(long timeoutMillis) throws PeerCallException, InterruptedException {
        Frame frame = frames.poll(Math.max(0, timeoutMillis), TimeUnit.MILLISECONDS);
        if (frame == null) {
            throw PeerCallException.timedOut();
        }
        if (frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET) {
            throw PeerCallException.broken("the connection was lost");
        }
        return frame;
    }

    private ByteString acceptData(CallData data) throws PeerCallException {
        if (data.getSequence() != nextSequence) {
            throw PeerCallException.broken("piece " + data.getSequence() + " came where " + nextSequence + " was due");
        }
        nextSequence++;
        uncreditedBytes += data.getData().size();
        if (uncreditedBytes >= CREDIT_THRESHOLD_BYTES) {
            CallCredit credit =
                    CallCredit.newBuilder().setBytes((int) uncreditedBytes).build();
            uncreditedBytes = 0;
            send(Frame.newBuilder().setCallCredit(credit));
        }
        return data.getData();
    }

    private ByteString acceptEnd(CallEnd end) throws PeerCallException {
        ended = true;
        if (!end.getErrorKind().isEmpty()) {
            throw PeerCallException.endedByPeer(end);
        }
        if (end.getSequence() != nextSequence) {
            throw PeerCallException.broken("the answer ended at " + end.getSequence() + ", not " + nextSequence);
        }
        return null;
    }

    private void send(Frame.Builder frame) {
        sender.accept(frame.setStreamId(streamId).build());
    }

    /** Cancels the call unless it has ended. Idempotent, and safe to call from any thread. */
    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            onClose.run();
            if (!ended) {
                send(Frame.newBuilder().setCallCancel(CallCancel.getDefaultInstance()));
            }
            connectionLost();
        }
    }
}
