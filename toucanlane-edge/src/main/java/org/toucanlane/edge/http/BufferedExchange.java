package org.toucanlane.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
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
    private final int maxBytes;
    private int status;
    private HttpHeaders headers;

    private BufferedExchange(EventLoop loop, Duration maxTime, int maxBytes) {
        this.maxBytes = maxBytes;
        this.timeout = loop.schedule(this::onTimeout, maxTime.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends {@code request}.
     *
     * @param maxTime maximum time until the response is complete, after which the connection is closed
     * @param maxBytes maximum size of the response body, above which the connection is closed
     * @return the response, or a failure with an {@link IOException}, which is a {@link ResponseTooLargeException} if the
     *     response exceeds the limit, or a {@link TimeoutException}
     */
    public static CompletableFuture<Response> send(
            ChannelPool pool, EventLoop loop, FullHttpRequest request, Duration maxTime, int maxBytes) {
        BufferedExchange exchange = new BufferedExchange(loop, maxTime, maxBytes);
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
    public ResponseMatch onHead(HttpResponse response) {
        status = response.status().code();
        headers = response.headers();
        return ResponseMatch.OWN;
    }

    @Override
    public void onData(ByteBuf content, boolean last) {
        boolean tooLarge = body.readableBytes() + content.readableBytes() > maxBytes;
        if (!tooLarge && !result.isDone()) {
            body.writeBytes(content);
        }
        content.release();
        if (tooLarge) {
            timeout.cancel(false);
            call.cancel();
            result.completeExceptionally(new ResponseTooLargeException(maxBytes));
        } else if (last) {
            timeout.cancel(false);
            result.complete(new Response(status, headers, ByteBufUtil.getBytes(body)));
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
     * @param headers response headers
     * @param body response body, not copied
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}
}
