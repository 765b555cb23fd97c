package org.toucanlane.edge.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging in code, since parsing a configuration file would take longer than the rest of the process start.
 *
 * <p>Events are written to standard output as JSON lines by a separate thread. If it can't keep up, events are dropped;
 * callers never block.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {

    /** Capacity of the queue of events to write; about one second's worth on a busy host. */
    private static final int QUEUE_CAPACITY = 512;

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        JsonLineLayout layout = new JsonLineLayout();
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder);
        console.start();
        AsyncAppender async = new AsyncAppender();
        async.setContext(context);
        async.setQueueSize(QUEUE_CAPACITY);
        async.setDiscardingThreshold(0);
        async.setNeverBlock(true);
        async.addAppender(console);
        async.start();
        context.getLogger("ROOT").setLevel(Level.INFO);
        context.getLogger("ROOT").addAppender(async);
        context.getLogger("io.netty").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
