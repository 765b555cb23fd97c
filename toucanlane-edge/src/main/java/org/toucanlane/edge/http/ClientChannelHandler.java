package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Handles one connection of a {@link ChannelPool}.
 *
 * <p>Invariant: a connection is reused only if the request was written completely, the response named the request and was
 * read completely, and no data followed it; otherwise a later request could receive bytes of another response. Used on one
 * event loop only.
 */
final class ClientChannelHandler extends ChannelInboundHandlerAdapter implements ClientCall, ResponseDecoder.Listener {

    /**
     * Fraction of the idle time advertised by the server during which a connection is reused. The remainder covers network
     * latency.
     */
    private static final double IDLE_TIME_FRACTION = 0.6;

    /** Maximum number of informational (1xx) responses before the response to a request. */
    private static final int MAX_INFORMATIONAL_RESPONSES = 8;

    /** Maximum number of responses to other requests that are skipped before the response to a request. */
    private static final int MAX_DISCARDED_RESPONSES = 8;

    /** Maximum size of responses to other requests that are skipped before the response to a request. */
    private static final int MAX_DISCARDED_BYTES = 256 << 10;

    /** Size of a request's body from which an endpoint may well answer, and end the connection, before it has read it. */
    private static final int LONG_BODY_BYTES = 16 << 10;

    /** Time in which the reset of a connection follows the end of its stream. */
    private static final Duration RESET_DELAY = Duration.ofMillis(50);

    /** An empty line, which servers ignore between requests (RFC 9112, section 2.2). */
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private final ChannelPool pool;
    private final long defaultIdleNanos;
    private final ResponseDecoder decoder;
    private final ResponseFaultListener faultListener;
    private ChannelHandlerContext context;
    private ExchangeListener listener;
    private boolean written;
    private boolean receivingResponse;
    private boolean keepAlive;
    private boolean mismatched;
    private boolean endsWithConnection;
    private boolean longBody;
    private boolean checkingEnd;
    private boolean reusable = true;
    private int exchangeCount;
    private int informationalCount;
    private int discardedCount;
    private int discardedBytes;
    private long openedAt;
    private long usableUntil;
    private long idleNanos;

    ClientChannelHandler(
            ChannelPool pool, HttpDecoderConfig decoderConfig, Duration idleTime, ResponseFaultListener faultListener) {
        this.pool = pool;
        this.decoder = new ResponseDecoder(decoderConfig, this);
        this.faultListener = faultListener;
        this.defaultIdleNanos = idleTime.toNanos();
        this.idleNanos = defaultIdleNanos;
    }

    /** Returns the decoder of the connection, which precedes this handler in its pipeline. */
    ResponseDecoder decoder() {
        return decoder;
    }

    private void reportFault(ResponseFault fault, String detail) {
        faultListener.onFault(fault, exchangeCount, detail);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Records when the connection was established. */
    void markOpened(long now) {
        openedAt = now;
    }

    /** Returns when the connection was established. */
    long openedAt() {
        return openedAt;
    }

    /** Returns whether the connection is open, as far as its end would be noticed. */
    boolean isOpen() {
        return context.channel().isActive() && context.channel().config().isAutoRead();
    }

    /** Sends a request; {@code receiver} receives the response. */
    void send(FullHttpRequest request, ExchangeListener receiver) {
        listener = receiver;
        exchangeCount++;
        decoder.beginExchange(request.method());
        written = false;
        longBody = request.content().readableBytes() >= LONG_BODY_BYTES;
        receivingResponse = false;
        keepAlive = false;
        informationalCount = 0;
        discardedCount = 0;
        discardedBytes = 0;
        receiver.onStarted(this);
        if (listener != receiver) {
            request.release();
            return;
        }
        context.writeAndFlush(request).addListener((ChannelFuture done) -> {
            if (done.isSuccess()) {
                written = true;
            } else {
                fail(done.cause());
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            DecoderResult decoded = ((HttpObject) message).decoderResult();
            if (decoded.cause() instanceof PrematureChannelClosureException) {
                fail(new IOException("connection closed within the head of a response", decoded.cause()));
                return;
            }
            if (listener == null) {
                return;
            }
            if (decoded.isFailure()) {
                reportFault(ResponseFault.MALFORMED, String.valueOf(decoded.cause()));
                fail(new MalformedResponseException("received a malformed HTTP response"));
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content && receivingResponse) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            readInformationalHead(response);
            return;
        }
        receivingResponse = true;
        endsWithConnection = decoder.endsWithConnection(response);
        keepAlive = HttpUtil.isKeepAlive(response)
                && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
        idleNanos = advertisedIdleNanos(response);
        ResponseMatch match = listener.onHead(response);
        reusable &= match == ResponseMatch.OWN;
        mismatched = !match.isAccepted(exchangeCount == 1);
        if (mismatched) {
            reportFault(match.fault(), "status " + response.status());
            if (match == ResponseMatch.OTHER && decoder.endsWithConnection(response)) {
                fail(new MalformedResponseException("the response to another request ends with the connection"));
                return;
            }
        }
        if (mismatched && match == ResponseMatch.UNKNOWN) {
            fail(new MalformedResponseException(
                    "response without a request id on a connection that carried an earlier request"));
            return;
        }
        discardedCount += mismatched ? 1 : 0;
        if (discardedCount > MAX_DISCARDED_RESPONSES) {
            fail(new MalformedResponseException(
                    "more than " + MAX_DISCARDED_RESPONSES + " responses to other requests"));
        }
    }

    private void readInformationalHead(HttpResponse response) {
        informationalCount++;
        if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            // Data of another protocol follows, which has no end.
            fail(new MalformedResponseException("response switches protocols without being asked to"));
        } else if (informationalCount > MAX_INFORMATIONAL_RESPONSES) {
            fail(new MalformedResponseException(
                    "more than " + MAX_INFORMATIONAL_RESPONSES + " informational responses"));
        }
    }

    /** Returns how long the connection may be idle, from {@code Keep-Alive: timeout=N}, or the default. */
    private long advertisedIdleNanos(HttpResponse response) {
        String value = response.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at < 0) {
            return defaultIdleNanos;
        }
        String digits = value.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
        return digits.isEmpty() || digits.length() > 6
                ? defaultIdleNanos
                : (long) (Duration.ofSeconds(Long.parseLong(digits)).toNanos() * IDLE_TIME_FRACTION);
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mismatched) {
            if (StatusLines.isIn(content.content())) {
                reportFault(ResponseFault.SWALLOWED_RESPONSE, "status line in the body of another response");
                fail(new MalformedResponseException("the response to another request contains a status line"));
                return;
            }
            receivingResponse = !last;
            mismatched = !last;
            discardedBytes += content.content().readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                fail(new MalformedResponseException(
                        "responses to other requests exceed " + MAX_DISCARDED_BYTES + " bytes"));
            }
            return;
        }
        ExchangeListener receiver = listener;
        if (receiver == null) {
            return;
        }
        if (last && decoder.isFollowedByBytes() && StatusLines.isIn(content.content())) {
            reportFault(ResponseFault.SWALLOWED_RESPONSE, "status line in the end of a body, and bytes behind it");
            fail(new MalformedResponseException("the response contains the start of another one"));
            return;
        }
        if (last && endsWithConnection && !written) {
            fail(new IOException("connection ended before the request was sent"));
            return;
        }
        if (last && endsWithConnection && longBody) {
            checkEnd(receiver, content.content());
            return;
        }
        deliver(receiver, content.content(), last);
    }

    /**
     * Waits for a reset behind the end of a response that ends with the connection. It shows that the endpoint hasn't read the
     * request, and has given up the response. The system reports it to a later write only.
     */
    private void checkEnd(ExchangeListener receiver, ByteBuf content) {
        checkingEnd = true;
        ByteBuf bytes = content.retain();
        context.executor()
                .schedule(
                        () -> context.pipeline()
                                .firstContext()
                                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                                .addListener((ChannelFuture probe) -> {
                                    if (listener != receiver) {
                                        bytes.release();
                                    } else if (probe.isSuccess()) {
                                        deliver(receiver, bytes, true);
                                        bytes.release();
                                    } else {
                                        bytes.release();
                                        fail(probe.cause());
                                    }
                                }),
                        RESET_DELAY.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void deliver(ExchangeListener receiver, ByteBuf bytes, boolean last) {
        if (last) {
            receivingResponse = false;
            listener = null;
            decoder.endExchange();
        }
        receiver.onData(bytes.isReadable() ? bytes.retain() : Unpooled.EMPTY_BUFFER, last);
        if (last) {
            endExchange();
        }
    }

    private void endExchange() {
        if (keepAlive && written && reusable && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
            startIdling();
        } else {
            close();
        }
    }

    /** Puts the connection, which carries no exchange, into the pool. */
    void startIdling() {
        usableUntil = System.nanoTime() + idleNanos;
        pool.release(this);
    }

    /** Returns whether this idle connection may carry another request. */
    boolean isUsable(long now) {
        return context.channel().isActive() && usableUntil - now > 0;
    }

    void close() {
        decoder.endExchange();
        pool.closed(this);
        context.close();
    }

    /** Closes the connection; another response may begin with these bytes. */
    @Override
    public void onUnrequestedBytes() {
        if (context.channel().isActive()) {
            reportFault(ResponseFault.UNREQUESTED_BYTES, "received data without a pending request");
            close();
        }
    }

    @Override
    public void onMergedHead() {
        reportFault(ResponseFault.MERGED_HEAD, "another status line in the head of a response");
        fail(new MalformedResponseException("the head of a response contains another status line"));
    }

    private void fail(Throwable cause) {
        ExchangeListener receiver = listener;
        boolean wasReceiving = receivingResponse && !mismatched;
        listener = null;
        receivingResponse = false;
        close();
        if (receiver != null) {
            receiver.onFailed(wasReceiving ? ExchangeListener.Stage.ANSWERING : ExchangeListener.Stage.SENT, cause);
        }
    }

    /** Closes the connection when the endpoint has ended its stream, unless that is still being checked. */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !checkingEnd) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(new ClosedChannelException());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(cause);
    }

    @Override
    public void cancel() {
        if (listener == null) {
            return;
        }
        listener = null;
        receivingResponse = false;
        close();
    }

    @Override
    public void setAutoRead(boolean autoRead) {
        context.channel().config().setAutoRead(autoRead);
    }
}
