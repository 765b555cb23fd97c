package org.toucanlane.edge.telemetry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * A structured log of decisions about requests and of changes of the state that this process observes.
 *
 * <p>Each kind of event is rate-limited. Events over the limit are dropped and counted, and the next event of that kind
 * that is written carries the count. Never blocks, provided that the appender drops events when its queue is full.
 * Thread-safe.
 */
public final class DecisionLog {

    /** Events of one kind written per second: all those of a host under normal load, a sample under overload. */
    private static final int MAX_LINES_PER_SECOND = 40;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Logger logger;
    private final Map<String, LineRateLimiter> limitersByKind = new ConcurrentHashMap<>();

    /** Creates a log that writes to the logger {@code name}. */
    public DecisionLog(String name) {
        this.logger = LoggerFactory.getLogger(name);
    }

    /**
     * Logs a change of the state that this process observes, such as a host that stopped reporting.
     *
     * @param fields alternating field names and values
     */
    public void stateChange(String kind, Object... fields) {
        write(kind, fields);
    }

    /**
     * Logs a decision about a request.
     *
     * @param fields alternating field names and values
     */
    public void decision(String kind, Object... fields) {
        write(kind, fields);
    }

    /**
     * Returns a task that runs {@code task} and logs an exception that it throws, for use as a periodic task, which would
     * otherwise not be run again.
     */
    public Runnable logFailures(String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                stateChange("task_failed", "task", name, "reason", String.valueOf(e));
            }
        };
    }

    private void write(String kind, Object... fields) {
        if (!logger.isInfoEnabled()) {
            return;
        }
        long dropped = limitersByKind
                .computeIfAbsent(kind, key -> new LineRateLimiter())
                .tryAcquire(System.nanoTime());
        if (dropped < 0) {
            return;
        }
        LoggingEventBuilder event = logger.atInfo();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            event = event.addKeyValue((String) fields[i], fields[i + 1]);
        }
        if (dropped > 0) {
            event = event.addKeyValue("dropped_before", dropped);
        }
        event.log(kind);
    }

    /** Limits the events of one kind per second. Thread-safe. */
    private static final class LineRateLimiter {

        private final AtomicLong currentSecond = new AtomicLong(Long.MIN_VALUE);
        private final AtomicLong linesInSecond = new AtomicLong();
        private final AtomicLong dropped = new AtomicLong();

        /** Returns the number of events dropped since the last one written, or -1 if this one is to be dropped. */
        private long tryAcquire(long now) {
            long current = Math.floorDiv(now, NANOS_PER_SECOND);
            if (currentSecond.getAndSet(current) != current) {
                linesInSecond.set(0);
            }
            if (linesInSecond.incrementAndGet() > MAX_LINES_PER_SECOND) {
                dropped.incrementAndGet();
                return -1;
            }
            return dropped.getAndSet(0);
        }
    }
}
