package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Histogram of latencies with a resolution of one microsecond and a precision of three significant digits. Latencies
 * above five minutes are recorded as five minutes. Thread-safe.
 */
final class LatencyHistogram {

    private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final double MICROS_PER_MILLISECOND = 1000;

    private final Histogram histogram = new ConcurrentHistogram(1, MAX_MICROS, 3);

    void recordNanos(long nanos) {
        histogram.recordValue(Math.min(MAX_MICROS, Math.max(1, TimeUnit.NANOSECONDS.toMicros(nanos))));
    }

    double percentileMillis(double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLISECOND;
    }

    long count() {
        return histogram.getTotalCount();
    }

    /** Writes the 50th, 95th and 99th percentiles in milliseconds to fields whose names start with {@code prefix}. */
    void writeTo(ObjectNode result, String prefix) {
        result.put(prefix + "_p50_ms", percentileMillis(50));
        result.put(prefix + "_p95_ms", percentileMillis(95));
        result.put(prefix + "_p99_ms", percentileMillis(99));
    }
}
