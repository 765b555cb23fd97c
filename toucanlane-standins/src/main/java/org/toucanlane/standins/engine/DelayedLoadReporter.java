package org.toucanlane.standins.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Load as it was some time ago: it is sampled at most once in each lag. Thread-safe. */
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
