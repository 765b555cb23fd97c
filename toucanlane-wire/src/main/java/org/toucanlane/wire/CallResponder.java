package org.toucanlane.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.toucanlane.wire.proto.CallData;
import org.toucanlane.wire.proto.CallEnd;
import org.toucanlane.wire.proto.CallHead;
import org.toucanlane.wire.proto.Frame;

/**
 * The answering side of one call.
 *
 * <p>Invariant: at most one end is sent, and nothing after it. Used by one thread, but for cancellation and credit,
 * which come from the network thread.
 */
public final class CallResponder {

    private static final long CREDIT_TIMEOUT_MILLIS = 60_000;

    private final Channel channel;
    private final long streamId;
    private final CreditWindow creditWindow = new CreditWindow(PeerProtocol.CALL_WINDOW_BYTES);
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicReference<Runnable> onCancel = new AtomicReference<>();
    private volatile boolean cancelled;
    private long sequence;

    CallResponder(Channel channel, long streamId) {
        this.channel = channel;
        this.streamId = streamId;
    }

    /** Sends the answer's status and type. */
    public void sendHead(int status, String contentType) {
        CallHead head = CallHead.newBuilder()
                .setStatus(status)
                .setContentType(contentType)
                .build();
        send(Frame.newBuilder().setCallHead(head));
    }

    /**
     * Sends a piece of the answer, waiting while the receiver has not consumed what was sent before.
     *
     * @return false if the call was cancelled, its connection was lost or the receiver consumed nothing for a minute
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean sendData(byte[] bytes, int offset, int length) throws InterruptedException {
        int done = 0;
        while (done < length) {
            int piece = Math.min(PeerProtocol.MAX_DATA_BYTES, length - done);
            if (cancelled || !channel.isActive() || !creditWindow.acquire(piece, CREDIT_TIMEOUT_MILLIS)) {
                return false;
            }
            ByteString copy = UnsafeByteOperations.unsafeWrap(bytes, offset + done, piece);
            CallData data =
                    CallData.newBuilder().setSequence(sequence++).setData(copy).build();
            send(Frame.newBuilder().setCallData(data));
            done += piece;
        }
        return true;
    }

    /** Ends the answer as whole. */
    public void complete() {
        sendEnd(CallEnd.newBuilder().setSequence(sequence).build());
    }

    /** Ends the call with an error. */
    public void fail(String errorKind, String message, long retryAfterMillis) {
        sendEnd(CallEnd.newBuilder()
                .setSequence(sequence)
                .setErrorKind(errorKind)
                .setErrorMessage(message)
                .setRetryAfterMillis(retryAfterMillis)
                .build());
    }

    private void sendEnd(CallEnd end) {
        if (ended.compareAndSet(false, true)) {
            send(Frame.newBuilder().setCallEnd(end));
        }
    }

    private void send(Frame.Builder frame) {
        channel.writeAndFlush(frame.setStreamId(streamId).build());
    }

    /** Sets what to do when the caller cancels or its connection is lost; runs at once if that has happened. */
    public void onCancel(Runnable action) {
        onCancel.set(action);
        if (cancelled) {
            runCancelAction();
        }
    }

    void addCredit(long bytes) {
        creditWindow.replenish(bytes);
    }

    void cancel() {
        cancelled = true;
        creditWindow.close();
        runCancelAction();
    }

    private void runCancelAction() {
        Runnable action = onCancel.getAndSet(null);
        if (action != null) {
            action.run();
        }
    }
}
