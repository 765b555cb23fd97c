package org.toucanlane.edge.http;

import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes the responses of one connection, which carries one request at a time.
 *
 * <p>Invariants: bytes are decoded only while a request is pending, so that none of them can become the start of a later
 * response; a head that contains another status line is not passed on. The bytes of a head are searched, since the decoder
 * drops some of them. Used on one event loop only.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** A status code, without a sign and of three digits, as RFC 9110 requires. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final Listener listener;
    private HttpMethod pendingMethod;
    private boolean readingHead;
    private boolean headStarted;
    private boolean followedByBytes;

    /** Creates a decoder without a pending request. */
    ResponseDecoder(HttpDecoderConfig config, Listener listener) {
        super(config);
        this.listener = listener;
    }

    /** Records that a request has been sent, and decodes what arrives as responses to it. */
    void beginExchange(HttpMethod method) {
        pendingMethod = method;
        readingHead = true;
        headStarted = false;
        followedByBytes = false;
    }

    /** Records that the response to the pending request is complete, or that the request has failed. */
    void endExchange() {
        pendingMethod = null;
    }

    /** Returns whether the body of a response to the pending request ends with the connection only. */
    boolean endsWithConnection(HttpResponse response) {
        return !isContentAlwaysEmpty(response)
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    /** Returns whether bytes have arrived behind the response that was decoded last. */
    boolean isFollowedByBytes() {
        return followedByBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (pendingMethod == null) {
            boolean unrequested = buffer.isReadable();
            buffer.skipBytes(buffer.readableBytes());
            if (unrequested) {
                listener.onUnrequestedBytes();
            }
            return;
        }
        int start = buffer.readerIndex();
        super.decode(ctx, buffer, out);
        if (readingHead
                && isMerged(buffer.toString(start, buffer.readerIndex() - start, StandardCharsets.ISO_8859_1))) {
            out.clear();
            listener.onMergedHead();
            return;
        }
        out.forEach(message -> updateState(message, buffer.isReadable()));
    }

    /** Returns whether a part of a head contains a status line that isn't the head's own. */
    private boolean isMerged(String part) {
        int first = CharMatcher.whitespace().negate().indexIn(part);
        boolean continued = headStarted;
        headStarted |= first >= 0;
        return StatusLines.isIn(part, continued ? 0 : first + 1);
    }

    private void updateState(Object message, boolean moreBytes) {
        if (message instanceof HttpResponse) {
            readingHead = false;
            headStarted = false;
        }
        if (message instanceof LastHttpContent) {
            readingHead = true;
            followedByBytes = moreBytes;
        }
    }

    /**
     * Creates a response.
     *
     * @throws IllegalArgumentException if the status isn't a number of three digits from 100 to 599
     */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("not an HTTP status: " + statusLine[1]);
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(pendingMethod) || super.isContentAlwaysEmpty(message);
    }

    /** Receives what is not the response to the pending request. Its methods close the connection. */
    interface Listener {

        /** Called when bytes have been dropped, since no request is pending. */
        void onUnrequestedBytes();

        /** Called when a head contains another status line, and has been dropped. */
        void onMergedHead();
    }
}
