package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes the responses of one connection, which carries one request at a time. Used on one event loop only.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private final Runnable unrequestedBytesListener;
    private HttpMethod pendingMethod;

    /**
     * Creates a decoder without a pending request.
     *
     * @param unrequestedBytesListener called when bytes have arrived while no request is pending
     */
    ResponseDecoder(HttpDecoderConfig config, Runnable unrequestedBytesListener) {
        super(config);
        this.unrequestedBytesListener = unrequestedBytesListener;
    }

    /** Records that a request has been sent, and decodes what arrives as responses to it. */
    void beginExchange(HttpMethod method) {
        pendingMethod = method;
    }

    /** Records that the response to the pending request is complete. */
    void endExchange() {
        pendingMethod = null;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (pendingMethod == null && buffer.isReadable()) {
            unrequestedBytesListener.run();
        }
        super.decode(ctx, buffer, out);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(pendingMethod) || super.isContentAlwaysEmpty(message);
    }
}
