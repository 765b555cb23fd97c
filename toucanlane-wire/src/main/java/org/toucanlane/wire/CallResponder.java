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
 * Server side of one call between hosts.
 *
 * <p>Invariant: at most one end frame is sent, and no frame follows it. The response methods are called from a single
 * thread; only cancellation and credit updates arrive on the network thread.
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

    /** Sends the status and content type of the response. */
    public void sendHead(int status, String contentType) {
        CallHead head = CallHead.newBuilder()
                .setStatus(status)
                .setContentType(contentType)
                .build();
        send(Frame.newBuilder().setCallHead(head));
    }

    /**
     * Sends part of the response body, blocking while the flow-control window is exhausted.
     *
     * @return false if the call was cancelled, its connection was lost or the receiver granted no credit for a minute
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public boolean sendData(byte[] bytes, int offset, int length) throws InterruptedException {
        int sentBytes = 0;
        while (sentBytes < length) {
            int chunkLength = Math.min(PeerProtocol.MAX_DATA_BYTES, length - sentBytes);
            if (cancelled || !channel.isActive() || !creditWindow.acquire(chunkLength, CREDIT_TIMEOUT_MILLIS)) {
                return false;
            }
            ByteString chunk = UnsafeByteOperations.unsafeWrap(bytes, offset + sentBytes, chunkLength);
            CallData data =
                    CallData.newBuilder().setSequence(sequence++).setData(chunk).build();
            send(Frame.newBuilder().setCallData(data));
            sentBytes += chunkLength;
        }
        return true;
    }

    /** Ends the call and marks the response as complete. */
    public void complete() {
        sendEnd(CallEnd.newBuilder().setSequence(sequence).build());
    }

    /** Ends the call with an error, unless it has already ended. */
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

    /**
     * Sets the action to run when the caller cancels the call or its connection is lost. The action runs immediately if
     * the call is already cancelled.
     */
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
