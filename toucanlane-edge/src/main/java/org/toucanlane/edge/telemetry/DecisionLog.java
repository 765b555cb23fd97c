package org.toucanlane.edge.telemetry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * One line for each decision about a request and each change of belief, with fields instead of text.
 *
 * <p>Each kind of line has a rate; what exceeds it is counted, and the count stands in the next line of that kind. Never
 * blocks, as long as the appender drops what it can't take. Thread-safe.
 */
public final class DecisionLog {

    /** Lines a second of one kind: all decisions of a calm host, a sample of an overloaded one's. */
    private static final int MAX_LINES_PER_SECOND = 40;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Logger logger;
    private final Map<String, LineRateLimiter> limitersByKind = new ConcurrentHashMap<>();

    /** Creates a log that writes as {@code name}. */
    public DecisionLog(String name) {
        this.logger = LoggerFactory.getLogger(name);
    }

    /**
     * Writes a change of what the process believes.
     *
     * @param fields names and values in turn
     */
    public void stateChange(String kind, Object... fields) {
        write(kind, fields);
    }

    /**
     * Writes a decision about a request.
     *
     * @param fields names and values in turn
     */
    public void decision(String kind, Object... fields) {
        write(kind, fields);
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

    /** Lines of one kind in the current second. Thread-safe. */
    private static final class LineRateLimiter {

        private final AtomicLong currentSecond = new AtomicLong(Long.MIN_VALUE);
        private final AtomicLong linesInSecond = new AtomicLong();
        private final AtomicLong dropped = new AtomicLong();

        /** Returns the lines dropped since the last one written, or -1 to drop this one. */
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
