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

/** Sends a request and waits for its whole answer, for calls whose answers are small. Used on one event loop only. */
public final class WholeAnswer implements ClientExchange {

    private final CompletableFuture<Answer> result = new CompletableFuture<>();
    private final ByteBuf body = Unpooled.buffer();
    private final ScheduledFuture<?> timeout;
    private ClientCall call;
    private int status;

    private WholeAnswer(EventLoop loop, Duration time) {
        this.timeout = loop.schedule(this::timedOut, time.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Sends {@code request}.
     *
     * @param time longest time to the whole answer; the connection is closed when it has passed
     * @return the answer, or a failure with an {@link IOException} or a {@link TimeoutException}
     */
    public static CompletableFuture<Answer> of(
            ChannelPool pool, EventLoop loop, FullHttpRequest request, Duration time) {
        WholeAnswer exchange = new WholeAnswer(loop, time);
        pool.send(request, exchange);
        return exchange.result;
    }

    private void timedOut() {
        if (result.isDone()) {
            return;
        }
        if (call != null) {
            call.cancel();
        }
        result.completeExceptionally(new TimeoutException("no answer in time"));
    }

    @Override
    public void started(ClientCall started) {
        call = started;
    }

    @Override
    public boolean head(HttpResponse response) {
        status = response.status().code();
        return true;
    }

    @Override
    public void data(ByteBuf content, boolean last) {
        body.writeBytes(content);
        content.release();
        if (last) {
            timeout.cancel(false);
            result.complete(new Answer(status, ByteBufUtil.getBytes(body)));
        }
    }

    @Override
    public void failed(Stage stage, Throwable cause) {
        timeout.cancel(false);
        result.completeExceptionally(cause);
    }

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param body its body, not copied
     */
    public record Answer(int status, byte[] body) {}
}
