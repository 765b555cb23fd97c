package org.toucanlane.edge.host;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.spi.SelectorProvider;
import org.toucanlane.policy.admission.ChannelLimit;
import org.toucanlane.policy.overload.LoopClock;

/**
 * The input and output of an event loop, whose passes a {@link LoopClock} measures, and whose channels a {@link ChannelLimit}
 * counts.
 *
 * <p>Invariant: each look for input is recorded before it is made, and its first input before any of it is read. Confined
 * to the event loop, except for what {@link IoHandler} calls from elsewhere.
 */
final class MeasuredIoHandler implements IoHandler {

    private final LoopClock clock;
    private final ChannelLimit channels;
    private final IoHandler delegate;
    private IoHandlerContext context;

    private MeasuredIoHandler(ThreadAwareExecutor executor, LoopClock clock, ChannelLimit channels) {
        this.clock = clock;
        this.channels = channels;
        this.delegate = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::look)
                .newHandler(executor);
    }

    /** Returns a factory for the handler of the one event loop that {@code clock} measures, whose channels are counted. */
    static IoHandlerFactory factory(LoopClock clock, ChannelLimit channels) {
        return executor -> new MeasuredIoHandler(executor, clock, channels);
    }

    private int look(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long now = System.nanoTime();
        long timer = hasTasks ? now : now + context.delayNanos(now);
        boolean probe = clock.beginPass(now, !hasTasks, timer);
        if (!hasTasks && !probe) {
            return SelectStrategy.SELECT;
        }
        int found = selectNow.get();
        if (probe) {
            clock.probed(System.nanoTime(), found > 0);
        }
        return found > 0 || hasTasks ? found : SelectStrategy.SELECT;
    }

    @Override
    public int run(IoHandlerContext passContext) {
        context = passContext;
        int handled = delegate.run(passContext);
        clock.endPass(System.nanoTime());
        return handled;
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        IoRegistration registration =
                delegate.register(handle instanceof NioIoHandle channel ? new MeasuredHandle(channel) : handle);
        channels.opened();
        return registration;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return delegate.isCompatible(type);
    }

    /** A channel whose input is recorded. */
    private final class MeasuredHandle implements NioIoHandle {

        private final NioIoHandle channel;

        private MeasuredHandle(NioIoHandle channel) {
            this.channel = channel;
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            if (!clock.hasFoundInput()) {
                clock.foundInput(System.nanoTime());
            }
            channel.handle(registration, event);
        }

        @Override
        public SelectableChannel selectableChannel() {
            return channel.selectableChannel();
        }

        @Override
        public void registered() {
            channel.registered();
        }

        @Override
        public void unregistered() {
            channels.closed();
            channel.unregistered();
        }

        @Override
        public void close() throws IOException {
            try {
                channel.close();
            } catch (Exception e) {
                throw new IOException("failed to close " + channel, e);
            }
        }
    }
}
