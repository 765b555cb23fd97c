package org.toucanlane.standins.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Moves bytes of one connection in one direction. Runs on the connection's event loop. */
final class Pipe extends ChannelInboundHandlerAdapter {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_HELD = 64;

    private final Channel target;
    private final Link link;
    private final boolean forward;
    private final Deque<ByteBuf> held = new ArrayDeque<>();
    private long freeAt;

    Pipe(Channel target, Link link, boolean forward) {
        this.target = target;
        this.link = link;
        this.forward = forward;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        link.count(bytes.readableBytes());
        if (link.isCut(forward)) {
            held.add(bytes);
            context.channel().config().setAutoRead(held.size() < MAX_HELD);
        } else {
            send(context, bytes);
        }
    }

    private void send(ChannelHandlerContext context, ByteBuf bytes) {
        long now = System.nanoTime();
        long rate = link.bytesPerSecond();
        freeAt = Math.max(freeAt, now) + (rate == 0 ? 0 : bytes.readableBytes() * NANOS_PER_SECOND / rate);
        long wait = freeAt - now + TimeUnit.MILLISECONDS.toNanos(link.delayMillis());
        if (wait <= 0) {
            target.writeAndFlush(bytes);
        } else {
            context.executor().schedule(() -> target.writeAndFlush(bytes), wait, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == link) {
            context.executor().execute(() -> release(context));
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    private void release(ChannelHandlerContext context) {
        while (!link.isCut(forward) && !held.isEmpty()) {
            send(context, held.poll());
        }
        if (held.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        held.forEach(ByteBuf::release);
        held.clear();
        if (link.isCut(forward)) {
            link.whenHealed(() -> closeTarget(context));
        } else {
            closeTarget(context);
        }
    }

    private void closeTarget(ChannelHandlerContext context) {
        context.executor()
                .schedule(
                        () -> target.writeAndFlush(context.alloc().buffer(0)).addListener(ChannelFutureListener.CLOSE),
                        link.delayMillis(),
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
