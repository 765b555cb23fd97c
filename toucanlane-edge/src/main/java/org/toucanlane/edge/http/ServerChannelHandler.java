package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/**
 * Handles one connection of an {@link HttpServer}: reads complete requests and answers them in order.
 *
 * <p>Invariants: at most one request of the connection is being answered, until its response has been handed over to the
 * system; messages that arrive meanwhile are queued in {@code pending}. A request is not handled if its caller's close has
 * arrived behind it. A body for which the server's {@link org.toucanlane.policy.admission.BodyBudget} has no memory is read
 * and dropped, and its request refused. Used on one event loop only.
 */
final class ServerChannelHandler extends ChannelInboundHandlerAdapter {

    /** Number of queued messages at which reading is paused: enough for a few pipelined requests. */
    private static final int MAX_PENDING = 64;

    /** Memory that a field of a head takes besides its text. */
    private static final int FIELD_BYTES = 200;

    /** Number of fields after which the memory of a connection's heads is recorded; an ordinary head has fewer. */
    private static final int RECORDED_FIELDS = 64;

    /** Size of the queued content at which reading is paused. */
    private static final int MAX_PENDING_BYTES = 64 << 10;

    private final HttpServer server;
    private final Deque<Queued> pending = new ArrayDeque<>();
    private final long openedInPass;
    private final long waitingSince;
    private int pendingBytes;
    private long pendingSince;
    private boolean readingPending;
    private ChannelHandlerContext context;
    private HttpRequest head;

    /** Null while no request is being read, and if there is no memory for the body of {@code head}. */
    private ByteBuf body;

    /** Fields of the heads that this connection has read and not answered yet, and those of the request in progress. */
    private int headFields;

    private int activeFields;
    private long bodyBytes;
    private long bodyBegunAt;
    private ChannelResponder activeResponder;
    private ChannelFuture lastResponseWrite;
    private boolean discardingInput;
    private long lastActivity = System.nanoTime();

    /**
     * Creates a handler.
     *
     * @param waitingSince time since which the connection may have been waiting to be accepted
     */
    ServerChannelHandler(HttpServer server, long waitingSince) {
        this.server = server;
        this.openedInPass = server.intake().pass();
        this.waitingSince = waitingSince;
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
        if (isAnswering()) {
            pending.addLast(new Queued((HttpObject) message, readableSince()));
            pendingBytes += bytes(message);
            if (pending.size() >= MAX_PENDING || pendingBytes >= MAX_PENDING_BYTES) {
                ctx.channel().config().setAutoRead(false);
            }
        } else {
            read((HttpObject) message);
        }
    }

    /** Returns whether a request is being answered, or its response hasn't been sent completely. */
    private boolean isAnswering() {
        return activeResponder != null || (lastResponseWrite != null && !lastResponseWrite.isDone());
    }

    private static int bytes(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
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
        } else if (findMemory(length, () -> server.bodyBudget().resize(0, length))) {
            body = new RequestBody(context.alloc(), server.bodyBudget(), length);
        }
    }

    /** Repeats {@code attempt} to get memory for a body of {@code bytes} while older bodies give way to it. */
    private boolean findMemory(long bytes, BooleanSupplier attempt) {
        boolean found = attempt.getAsBoolean();
        while (!found && server.rejectOldestBody(this, bytes)) {
            found = attempt.getAsBoolean();
        }
        return found;
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
            if (!findMemory(bodyBytes, () -> current.append(bytes))) {
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
        activeFields = request.headers().size();
        boolean complete = body != null;
        ByteBuf fullBody = complete ? body : Unpooled.EMPTY_BUFFER;
        head = null;
        body = null;
        activeResponder = new ChannelResponder(HttpUtil.isKeepAlive(request));
        long receivedAt = server.intake().receivedAt(readableSince());
        InboundRequest inbound = new InboundRequest(request, fullBody, activeResponder, receivedAt);
        // Runs after the read loop, which reads up to the end of what has arrived and so notices a caller that has
        // left.
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
        if (readingPending) {
            return pendingSince;
        }
        return server.intake().isNextPassWithoutIdling(openedInPass)
                ? waitingSince
                : server.intake().readableSince();
    }

    private void reject(ServerRejection.Reason reason) {
        discardingInput = true;
        releaseBody();
        ServerRejection rejection = server.handler().rejectionFor(reason);
        ByteBuf content = Unpooled.copiedBuffer(rejection.body(), StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(rejection.status()), content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        lastResponseWrite = context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void releaseBody() {
        ReferenceCountUtil.release(body);
        body = null;
        head = null;
    }

    /** Counts a field of a head. Short heads aren't recorded. */
    void onHeadField() {
        if (++headFields % RECORDED_FIELDS == 0) {
            server.recordHeads(this, (long) headFields * FIELD_BYTES);
        }
    }

    private void forgetHead() {
        headFields -= activeFields;
        if (headFields + activeFields >= RECORDED_FIELDS) {
            server.recordHeads(this, (long) headFields * FIELD_BYTES);
        }
        activeFields = 0;
    }

    private void onResponseEnded(boolean keepOpen) {
        activeResponder = null;
        forgetHead();
        lastActivity = System.nanoTime();
        if (!keepOpen) {
            discardingInput = true;
            return;
        }
        readPending();
    }

    private void readPending() {
        readingPending = true;
        try {
            while (!isAnswering() && !pending.isEmpty()) {
                Queued next = pending.pollFirst();
                pendingSince = next.since();
                pendingBytes -= bytes(next.message());
                read(next.message());
            }
        } finally {
            readingPending = false;
        }
        if (pending.isEmpty() && !context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void onResponseSent() {
        recordUnsent();
        if (context.channel().isActive()) {
            lastActivity = System.nanoTime();
            readPending();
        }
    }

    private void recordUnsent() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        server.recordUnsent(this, unsent == null ? 0 : unsent.totalPendingWriteBytes());
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
        server.recordUnsent(this, 0);
        server.recordHeads(this, 0);
        releaseBody();
        pending.forEach(queued -> ReferenceCountUtil.release(queued.message()));
        pending.clear();
        ChannelResponder responder = activeResponder;
        activeResponder = null;
        if (responder != null) {
            responder.notifyDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        recordUnsent();
        if (activeResponder != null && activeResponder.listener != null) {
            activeResponder.listener.onWritabilityChanged(ctx.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** A message behind a request that is being answered, and since when it may have been waiting. */
    private record Queued(HttpObject message, long since) {}

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
                recordUnsent();
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
            InetSocketAddress caller = (InetSocketAddress) context.channel().remoteAddress();
            return caller.getAddress().getHostAddress();
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
