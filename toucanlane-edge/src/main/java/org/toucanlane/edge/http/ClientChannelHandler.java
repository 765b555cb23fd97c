package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;

/**
 * One connection of a {@link ChannelPool}.
 *
 * <p>Invariant: the connection is kept only if the request was written whole, the answer was read whole, and nothing
 * came after it; else a later request could get bytes that belong to another. Used on one event loop only.
 */
final class ClientChannelHandler extends ChannelInboundHandlerAdapter implements ClientCall {

    /** Part of the idle time that the other side names after which a connection isn't used again, for the way there. */
    private static final double IDLE_TIME_FRACTION = 0.6;

    private final ChannelPool pool;
    private final long defaultIdleNanos;
    private ChannelHandlerContext context;
    private ExchangeListener listener;
    private boolean written;
    private boolean answering;
    private boolean keepAlive;
    private boolean mismatched;
    private boolean hadMismatch;
    private long usableUntil;
    private long idleNanos;

    ClientChannelHandler(ChannelPool pool, Duration idleTime) {
        this.pool = pool;
        this.defaultIdleNanos = idleTime.toNanos();
        this.idleNanos = defaultIdleNanos;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Sends a request; its exchange gets the answer. */
    void send(FullHttpRequest request, ExchangeListener receiver) {
        listener = receiver;
        written = false;
        answering = false;
        keepAlive = false;
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
            if (listener == null || ((HttpObject) message).decoderResult().isFailure()) {
                fail(new IOException("the other side sent bytes that are no answer"));
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content && answering) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return;
        }
        answering = true;
        keepAlive = HttpUtil.isKeepAlive(response)
                && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
        idleNanos = advertisedIdleNanos(response);
        mismatched = !listener.onHead(response);
        hadMismatch |= mismatched;
    }

    /** Returns how long the connection may be idle, from {@code Keep-Alive: timeout=N}. */
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
            answering = !last;
            mismatched = !last;
            return;
        }
        ExchangeListener receiver = listener;
        if (receiver == null) {
            return;
        }
        if (last) {
            answering = false;
            listener = null;
        }
        ByteBuf bytes = content.content();
        receiver.onData(bytes.isReadable() ? bytes.retain() : Unpooled.EMPTY_BUFFER, last);
        if (last) {
            endExchange();
        }
    }

    private void endExchange() {
        if (keepAlive && written && !hadMismatch && context.channel().isActive()) {
            context.channel().config().setAutoRead(true);
            usableUntil = System.nanoTime() + idleNanos;
            pool.release(this);
        } else {
            close();
        }
    }

    /** Returns whether a request may be sent on this idle connection. */
    boolean isUsable(long now) {
        return context.channel().isActive() && usableUntil - now > 0;
    }

    void close() {
        pool.closed(this);
        context.close();
    }

    private void fail(Throwable cause) {
        ExchangeListener receiver = listener;
        boolean broken = answering;
        listener = null;
        answering = false;
        close();
        if (receiver != null) {
            receiver.onFailed(broken ? ExchangeListener.Stage.ANSWERING : ExchangeListener.Stage.SENT, cause);
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
        answering = false;
        close();
    }

    @Override
    public void setAutoRead(boolean reading) {
        context.channel().config().setAutoRead(reading);
    }
}
