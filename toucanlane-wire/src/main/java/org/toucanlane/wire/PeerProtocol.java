package org.toucanlane.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.toucanlane.wire.proto.Frame;

/** Limits and codecs of the protocol between hosts. Stateless and thread-safe. */
public final class PeerProtocol {

    /** Version that this process speaks; peers with another one are refused. */
    public static final int VERSION = 1;

    /** Longest frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** Bytes of an answer that may be under way on one call without being consumed. */
    public static final int CALL_WINDOW_BYTES = 256 * 1024;

    /** Longest piece of an answer in one frame, in bytes. */
    public static final int MAX_DATA_BYTES = 64 * 1024;

    private static final int LENGTH_BYTES = 4;

    private PeerProtocol() {}

    static void addCodecs(ChannelPipeline pipeline) {
        pipeline.addLast(
                new FlushConsolidationHandler(FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true));
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new ProtobufEncoder());
    }
}
