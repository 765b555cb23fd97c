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
 * Sets up logging without a file, which would cost more of a start than all the rest of it: JSON lines on standard
 * output, written by a thread of its own. When that can't keep up, lines are dropped, and no caller waits.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogSetup extends ContextAwareBase implements Configurator {

    /** Lines that wait to be written; about a second of a busy host's. */
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
