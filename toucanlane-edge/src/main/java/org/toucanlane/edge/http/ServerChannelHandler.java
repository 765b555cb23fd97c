package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * Handles one connection of an {@link HttpServer}: reads complete requests and answers them in order.
 *
 * <p>Invariants: at most one request of the connection is being answered, until its response has been handed over to the
 * system; bytes that arrive meanwhile stay in the decoder. A request is not handled if its caller's close has
 * arrived behind it. A body for which the server's {@link org.toucanlane.policy.admission.BodyBudget} has no memory is read
 * and dropped, and its request refused. Used on one event loop only.
 */
final class ServerChannelHandler extends ChannelInboundHandlerAdapter {

    private final HttpServer server;
    private final RequestDecoder decoder;
    private final HeadMemory headMemory;
    private final long openedInPass;
    private final long waitingSince;
    private int aheadBytes;
    private long aheadSince;
    private boolean readingAhead;
    private ChannelHandlerContext context;
    private HttpRequest head;

    /** Null while no request is being read, and if there is no memory for the body of {@code head}. */
    private ByteBuf body;

    private long bodyBytes;
    private long bodyBegunAt;
    private ChannelResponder activeResponder;
    private ChannelFuture lastResponseWrite;
    private boolean discardingInput;
    private long lastActivity = System.nanoTime();

    /**
     * Creates a handler.
     *
     * @param decoderConfig limits of the decoder
     * @param waitingSince time since which the connection may have been waiting to be accepted
     */
    ServerChannelHandler(HttpServer server, HttpDecoderConfig decoderConfig, long waitingSince) {
        this.server = server;
        this.headMemory = new HeadMemory(server, this);
        this.decoder = new RequestDecoder(
                decoderConfig.setHeadersFactory(CountedHeaders.factory(headMemory::onField)), this::onRead);
        this.openedInPass = server.intake().pass();
        this.waitingSince = waitingSince;
    }

    /** Returns the decoder of the connection, which precedes this handler in its pipeline. */
    RequestDecoder decoder() {
        return decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.onOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastActivity = System.nanoTime();
        read((HttpObject) message);
    }

    /** Reads no more while a caller has sent bytes behind a request that is being answered. */
    private void onRead() {
        int held = decoder.heldBytes();
        if (held > 0 && aheadBytes == 0) {
            aheadSince = readableSince();
        }
        if (held != aheadBytes) {
            aheadBytes = held;
            context.channel().config().setAutoRead(held == 0);
            server.recordHeld(this, held);
        }
        if (isExpensiveToRead()) {
            context.channel().config().setAutoRead(false);
            server.turns().add(this, context.channel().eventLoop());
        }
    }

    /**
     * Lets the caller's input be read again.
     *
     * @return time in nanoseconds that this is expected to take in the next pass of the event loop
     */
    long takeTurn() {
        if (aheadBytes > 0) {
            readNext();
            return 0;
        }
        context.channel().config().setAutoRead(true);
        return decoder.lastNanos();
    }

    /** Returns whether a request is being answered, or its response hasn't been sent completely. */
    private boolean isAnswering() {
        return activeResponder != null || (lastResponseWrite != null && !lastResponseWrite.isDone());
    }

    private void read(HttpObject message) {
        try {
            if (discardingInput) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                reject(ServerRejection.Reason.of(message.decoderResult().cause()));
                return;
            }
            if (message instanceof HttpRequest request) {
                readHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpRequest request) {
        if (HttpUtil.isContentLengthSet(request) && HttpUtil.isTransferEncodingChunked(request)) {
            reject(ServerRejection.Reason.MALFORMED);
            return;
        }
        long length = HttpUtil.getContentLength(request, 0L);
        if (length > server.maxBodyBytes()) {
            reject(ServerRejection.Reason.BODY_TOO_LONG);
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
        head = request;
        bodyBytes = 0;
        bodyBegunAt = System.nanoTime();
        if (length == 0) {
            body = Unpooled.EMPTY_BUFFER;
        } else if (server.findMemory(this, length, () -> server.bodyBudget().resize(0, length))) {
            body = new RequestBody(context.alloc(), server.bodyBudget(), length);
        }
    }

    /** Returns the memory that is granted to an incomplete body, or 0. */
    long heldBytes() {
        return body instanceof RequestBody incomplete ? incomplete.granted() : 0;
    }

    /** Returns the time in nanoseconds since the head of the request that is being read was read. */
    long bodyAge(long now) {
        return now - bodyBegunAt;
    }

    /** Rejects the request whose body is being read. */
    void rejectBody() {
        reject(ServerRejection.Reason.TOO_SLOW);
    }

    private void readContent(HttpContent content) {
        ByteBuf bytes = content.content();
        bodyBytes += bytes.readableBytes();
        if (bodyBytes > server.maxBodyBytes()) {
            reject(ServerRejection.Reason.BODY_TOO_LONG);
            return;
        }
        if (bytes.isReadable() && body != null) {
            if (body == Unpooled.EMPTY_BUFFER) {
                body = new RequestBody(context.alloc(), server.bodyBudget(), 0);
            }
            RequestBody current = (RequestBody) body;
            if (!server.findMemory(this, bodyBytes, () -> current.append(bytes))) {
                body.release();
                body = null;
            }
        }
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private void dispatch() {
        HttpRequest request = head;
        boolean complete = headMemory.begin(request) && body != null;
        ByteBuf fullBody = complete ? body : Unpooled.EMPTY_BUFFER;
        body = complete ? null : body;
        releaseBody();
        activeResponder = new ChannelResponder(HttpUtil.isKeepAlive(request));
        long receivedAt = server.intake().receivedAt(readableSince());
        InboundRequest inbound = new InboundRequest(request, fullBody, activeResponder, receivedAt);
        // Runs after the read loop, which notices a caller that has left behind the request.
        server.intake()
                .accept(
                        context.channel().eventLoop(),
                        new ReadRequest(context.channel(), server.handler(), inbound, complete));
    }

    /**
     * Returns since when the message that is being read may have been waiting. The first bytes on a connection may have come
     * while it waited to be accepted.
     */
    private long readableSince() {
        if (readingAhead) {
            return aheadSince;
        }
        return server.intake().isNextPassWithoutIdling(openedInPass)
                ? waitingSince
                : server.intake().readableSince();
    }

    private void reject(ServerRejection.Reason reason) {
        discardingInput = true;
        releaseBody();
        FullHttpResponse response = server.handler().rejectionFor(reason).response();
        lastResponseWrite = context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseBody() {
        ReferenceCountUtil.release(body);
        body = null;
        head = null;
    }

    private void onResponseEnded(boolean keepOpen) {
        activeResponder = null;
        headMemory.end();
        lastActivity = System.nanoTime();
        if (!keepOpen) {
            discardingInput = true;
            return;
        }
        awaitNext();
    }

    /** Lets the decoder go on with the next request, in turns with other connections if it has been sent already. */
    private void awaitNext() {
        if (isAnswering() || discardingInput) {
            return;
        }
        if (aheadBytes > 0) {
            server.turns().add(this, context.channel().eventLoop());
        } else {
            readNext();
        }
    }

    private void readNext() {
        readingAhead = aheadBytes > 0;
        try {
            decoder.resume();
        } finally {
            readingAhead = false;
            onRead();
        }
    }

    private void onResponseSent() {
        server.recordUnsent(this, context.channel());
        if (context.channel().isActive()) {
            lastActivity = System.nanoTime();
            awaitNext();
        }
    }

    /** Closes the connection if it has been idle, or has not completed a request, for too long. */
    void closeIfExpired(long now) {
        boolean readingBody = head != null;
        long timeoutNanos = readingBody ? server.bodyNanos() : server.idleNanos();
        if (activeResponder != null || now - lastActivity < timeoutNanos) {
            return;
        }
        if (readingBody) {
            reject(ServerRejection.Reason.TOO_SLOW);
        } else {
            context.close();
        }
    }

    /** Returns whether a request is being handled. */
    boolean isHandling() {
        return activeResponder != null;
    }

    /** Returns whether the caller sends ahead, or sends what is expensive to read. */
    boolean isGreedy() {
        return aheadBytes > 0 || isExpensiveToRead();
    }

    private boolean isExpensiveToRead() {
        return head != null && decoder.isExpensive();
    }

    /** Returns whether a request of this connection has been answered. */
    boolean hasServed() {
        return lastResponseWrite != null;
    }

    /** Returns the time in nanoseconds since the last part of a request or the end of the last response. */
    long inactiveNanos(long now) {
        return now - lastActivity;
    }

    boolean isBusy() {
        return isAnswering() || head != null;
    }

    /**
     * Ends the request in progress with the response that its handler has for it now, or rejects it if it hasn't arrived
     * completely.
     */
    void endRequest() {
        if (activeResponder == null && head != null) {
            reject(ServerRejection.Reason.CLOSING);
        } else if (activeResponder != null && activeResponder.listener != null) {
            activeResponder.listener.onServerClosing();
        }
    }

    void close() {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onClosed(this);
        server.forgetUnsent(this);
        headMemory.close();
        releaseBody();
        server.recordHeld(this, 0);
        server.turns().remove(this);
        ChannelResponder responder = activeResponder;
        activeResponder = null;
        if (responder != null) {
            responder.notifyDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        server.recordUnsent(this, context.channel());
        if (activeResponder != null && activeResponder.listener != null) {
            activeResponder.listener.onWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Writes the response to one request. */
    private final class ChannelResponder implements Responder {

        private final boolean keepAlive;
        private Listener listener;
        private boolean ended;
        private boolean closeAfter;

        private ChannelResponder(boolean keepAlive) {
            this.keepAlive = keepAlive;
        }

        @Override
        public void respond(FullHttpResponse response) {
            if (!markEnded()) {
                response.release();
                return;
            }
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            setConnection(response.headers());
            end(context.writeAndFlush(response));
        }

        @Override
        public void begin(HttpResponse response, ByteBuf first) {
            if (ended || !isOpen()) {
                first.release();
                return;
            }
            if (!HttpUtil.isContentLengthSet(response)) {
                HttpUtil.setTransferEncodingChunked(response, true);
            }
            setConnection(response.headers());
            context.write(response);
            send(first);
        }

        private void setConnection(HttpHeaders headers) {
            closeAfter = !keepAlive || server.isDraining();
            if (closeAfter) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        @Override
        public void send(ByteBuf content) {
            if (ended || !isOpen()) {
                content.release();
            } else if (content.isReadable()) {
                context.writeAndFlush(new DefaultHttpContent(content));
            } else {
                content.release();
                context.flush();
            }
        }

        @Override
        public void finish() {
            if (markEnded()) {
                end(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            }
        }

        private boolean markEnded() {
            boolean first = !ended && isOpen();
            ended = true;
            return first;
        }

        private void end(ChannelFuture writeFuture) {
            lastResponseWrite = writeFuture;
            if (closeAfter) {
                writeFuture.addListener(ChannelFutureListener.CLOSE);
            }
            onResponseEnded(!closeAfter);
            if (!writeFuture.isDone()) {
                server.recordUnsent(ServerChannelHandler.this, context.channel());
                writeFuture.addListener(sent -> onResponseSent());
            }
        }

        @Override
        public void abort() {
            if (markEnded()) {
                onResponseEnded(false);
                // Closes behind the data that is still waiting to be written.
                context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public boolean isWritable() {
            return context.channel().isWritable();
        }

        @Override
        public String callerAddress() {
            return ((InetSocketAddress) context.channel().remoteAddress())
                    .getAddress()
                    .getHostAddress();
        }

        @Override
        public boolean isOpen() {
            return context.channel().isActive();
        }

        @Override
        public void setListener(Listener newListener) {
            listener = newListener;
        }

        private void notifyDisconnected() {
            if (!ended && listener != null) {
                ended = true;
                listener.onCallerDisconnected();
            }
        }
    }
}
