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
 * The asking side of one call.
 *
 * <p>Invariant: pieces are handed out in the order of their sequence numbers without a gap, and the end only after all
 * of them. At most {@link PeerProtocol#CALL_WINDOW_BYTES} and one piece are held. Read by one thread.
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
     * Returns the answer's status and type.
     *
     * @throws PeerCallException if the call ended without an answer, the connection was lost or the time ran out
     */
    public CallHead awaitHead(long waitMillis) throws PeerCallException, InterruptedException {
        Frame frame = takeFrame(waitMillis);
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
     * Returns the next piece of the answer, or null after its last.
     *
     * @throws PeerCallException if the answer broke off or the time ran out
     */
    public ByteString next(long waitMillis) throws PeerCallException, InterruptedException {
        Frame frame = takeFrame(waitMillis);
        if (frame.hasCallData()) {
            return acceptData(frame.getCallData());
        }
        if (frame.hasCallEnd()) {
            return acceptEnd(frame.getCallEnd());
        }
        throw PeerCallException.broken("unexpected message on stream " + streamId);
    }

    private Frame takeFrame(long waitMillis) throws PeerCallException, InterruptedException {
        Frame frame = frames.poll(Math.max(0, waitMillis), TimeUnit.MILLISECONDS);
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

    /** Cancels the call unless it has ended. May be called by any thread, more than once. */
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
