package org.toucanlane.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Reports the load as of an earlier sample. A report takes a new sample, for later reports, if the last one is at least
 * the lag old. Thread-safe.
 */
final class DelayedLoadReporter {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final long lagNanos;
    private final IntSupplier running;
    private final IntSupplier waiting;
    private int sampledRunning;
    private int sampledWaiting;
    private long sampledAtNanos;

    DelayedLoadReporter(long lagMillis, IntSupplier running, IntSupplier waiting) {
        this.lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
        this.running = running;
        this.waiting = waiting;
        this.sampledAtNanos = System.nanoTime() - lagNanos;
    }

    synchronized ObjectNode report(boolean available) {
        ObjectNode report = JSON.createObjectNode()
                .put("running", sampledRunning)
                .put("waiting", sampledWaiting)
                .put("available", available);
        if (System.nanoTime() - sampledAtNanos >= lagNanos) {
            sampledRunning = running.getAsInt();
            sampledWaiting = waiting.getAsInt();
            sampledAtNanos = System.nanoTime();
        }
        return report;
    }
}
