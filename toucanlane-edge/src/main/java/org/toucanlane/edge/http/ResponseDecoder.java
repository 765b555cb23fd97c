package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses of one connection, which carries one request at a time.
 *
 * <p>Invariant: bytes are decoded only while a request is pending, so that none of them can become the start of a later
 * response. Used on one event loop only.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private final Runnable unrequestedBytesListener;
    private HttpMethod pendingMethod;

    /**
     * Creates a decoder without a pending request.
     *
     * @param unrequestedBytesListener called when bytes have been dropped, since no request is pending; it closes the
     *     connection
     */
    ResponseDecoder(HttpDecoderConfig config, Runnable unrequestedBytesListener) {
        super(config);
        this.unrequestedBytesListener = unrequestedBytesListener;
    }

    /** Records that a request has been sent, and decodes what arrives as responses to it. */
    void beginExchange(HttpMethod method) {
        pendingMethod = method;
    }

    /** Records that the response to the pending request is complete, or that the request has failed. */
    void endExchange() {
        pendingMethod = null;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (pendingMethod != null) {
            super.decode(ctx, buffer, out);
        } else if (buffer.isReadable()) {
            buffer.skipBytes(buffer.readableBytes());
            unrequestedBytesListener.run();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(pendingMethod) || super.isContentAlwaysEmpty(message);
    }
}
