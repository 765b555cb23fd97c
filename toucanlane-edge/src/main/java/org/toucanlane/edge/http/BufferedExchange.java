package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends a request and buffers the complete response. Meant for small responses. Used on one event loop only. */
public final class BufferedExchange implements ExchangeListener {

    private final CompletableFuture<Response> result = new CompletableFuture<>();
    private final ByteBuf body = Unpooled.buffer();
    private final ScheduledFuture<?> timeout;
    private ClientCall call;
    private int status;

    private BufferedExchange(EventLoop loop, Duration maxTime) {
        this.timeout = loop.schedule(this::onTimeout, maxTime.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends {@code request}.
     *
     * @param maxTime maximum time until the response is complete, after which the connection is closed
     * @return the response, or a failure with an {@link IOException} or a {@link TimeoutException}
     */
    public static CompletableFuture<Response> send(
            ChannelPool pool, EventLoop loop, FullHttpRequest request, Duration maxTime) {
        BufferedExchange exchange = new BufferedExchange(loop, maxTime);
        pool.send(request, exchange);
        return exchange.result;
    }

    private void onTimeout() {
        if (result.isDone()) {
            return;
        }
        if (call != null) {
            call.cancel();
        }
        result.completeExceptionally(new TimeoutException("no complete response before the timeout"));
    }

    @Override
    public void onStarted(ClientCall startedCall) {
        call = startedCall;
    }

    @Override
    public boolean onHead(HttpResponse response) {
        status = response.status().code();
        return true;
    }

    @Override
    public void onData(ByteBuf content, boolean last) {
        body.writeBytes(content);
        content.release();
        if (last) {
            timeout.cancel(false);
            result.complete(new Response(status, ByteBufUtil.getBytes(body)));
        }
    }

    @Override
    public void onFailed(Stage stage, Throwable cause) {
        timeout.cancel(false);
        result.completeExceptionally(cause);
    }

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param body response body, not copied
     */
    public record Response(int status, byte[] body) {}
}
