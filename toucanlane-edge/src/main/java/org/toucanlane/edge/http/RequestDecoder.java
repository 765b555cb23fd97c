package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.List;

/**
 * Decodes the requests of one connection, one at a time: bytes behind a request stay undecoded until {@link #resume}, so that
 * requests that a caller sends ahead take the memory of their bytes only.
 *
 * <p>Used on one event loop only.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Time for which a request may be decoded, beside that of its bytes: more than an ordinary head takes. */
    private static final long MAX_EXCESS_NANOS = Duration.ofNanos(200_000).toNanos();

    /** Time that a byte of a body takes at most. */
    private static final long NANOS_PER_BYTE = 2;

    private final Runnable onRead;
    private ChannelHandlerContext context;
    private HttpMethod method = HttpMethod.GET;
    private boolean holding;
    private long excessNanos;
    private long lastNanos;

    /** Creates a decoder that calls {@code onRead} after it has decoded what it can of each read. */
    RequestDecoder(HttpDecoderConfig config, Runnable onRead) {
        super(config);
        this.onRead = onRead;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        context = ctx;
        int bytes = ((ByteBuf) message).readableBytes();
        long begun = System.nanoTime();
        super.channelRead(ctx, message);
        lastNanos = System.nanoTime() - begun;
        excessNanos += lastNanos - bytes * NANOS_PER_BYTE;
        onRead.run();
    }

    /** Returns whether the request takes much more time to decode than its bytes account for. */
    boolean isExpensive() {
        return excessNanos > MAX_EXCESS_NANOS;
    }

    /** Returns the time in nanoseconds that the last read took to be decoded. */
    long lastNanos() {
        return lastNanos;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (holding) {
            return;
        }
        super.decode(ctx, buffer, out);
        for (Object message : out) {
            if (message instanceof HttpRequest request) {
                method = request.method();
            }
            holding |= message instanceof LastHttpContent;
        }
    }

    /** Returns the method of the request that was decoded last. */
    HttpMethod method() {
        return method;
    }

    /** Returns the number of bytes behind the request that was decoded last, or 0 if it isn't complete. */
    int heldBytes() {
        return holding ? actualReadableBytes() : 0;
    }

    /** Decodes the next request. */
    void resume() {
        holding = false;
        excessNanos = 0;
        if (context != null && actualReadableBytes() > 0) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }
}
