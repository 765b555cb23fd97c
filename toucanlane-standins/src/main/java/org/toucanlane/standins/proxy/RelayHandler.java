package org.toucanlane.standins.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Relays one direction of a connection with the faults of its link. Runs on the connection's event loop.
 */
final class RelayHandler extends ChannelInboundHandlerAdapter {

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int MAX_HELD_BUFFERS = 64;

    private final Channel target;
    private final Link link;
    private final boolean forward;
    private final Deque<ByteBuf> heldBuffers = new ArrayDeque<>();
    private long linkFreeAtNanos;

    RelayHandler(Channel target, Link link, boolean forward) {
        this.target = target;
        this.link = link;
        this.forward = forward;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        link.addBytesTransferred(bytes.readableBytes());
        if (link.isBlocked(forward)) {
            heldBuffers.add(bytes);
            context.channel().config().setAutoRead(heldBuffers.size() < MAX_HELD_BUFFERS);
        } else {
            forwardDelayed(context, bytes);
        }
    }

    private void forwardDelayed(ChannelHandlerContext context, ByteBuf bytes) {
        long now = System.nanoTime();
        long bytesPerSecond = link.bytesPerSecond();
        linkFreeAtNanos = Math.max(linkFreeAtNanos, now)
                + (bytesPerSecond == 0 ? 0 : bytes.readableBytes() * NANOS_PER_SECOND / bytesPerSecond);
        long delayNanos = linkFreeAtNanos - now + TimeUnit.MILLISECONDS.toNanos(link.delayMillis());
        if (delayNanos <= 0) {
            target.writeAndFlush(bytes);
        } else {
            context.executor().schedule(() -> target.writeAndFlush(bytes), delayNanos, TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == link) {
            context.executor().execute(() -> forwardHeldBuffers(context));
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    private void forwardHeldBuffers(ChannelHandlerContext context) {
        while (!link.isBlocked(forward) && !heldBuffers.isEmpty()) {
            forwardDelayed(context, heldBuffers.poll());
        }
        if (heldBuffers.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        heldBuffers.forEach(ByteBuf::release);
        heldBuffers.clear();
        if (link.isBlocked(forward)) {
            link.runWhenHealed(() -> closeTarget(context));
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
