package org.toucanlane.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.toucanlane.wire.proto.Frame;

/** Limits and Netty codecs of the protocol between hosts. Stateless and thread-safe. */
public final class PeerProtocol {

    /** Protocol version of this process. Connections from peers with another version are rejected. */
    public static final int VERSION = 1;

    /** Maximum frame length, in bytes. */
    public static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** Initial flow-control window of a call: response bytes that may be sent before the receiver consumes any. */
    public static final int CALL_WINDOW_BYTES = 256 * 1024;

    /** Maximum number of response bytes in one frame. */
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
