package org.toucanlane.coordination.claim;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Waits before a write is retried. Implementations are thread-safe. */
@FunctionalInterface
public interface BackOff {

    /** Waits after the attempt with number {@code attempt}, starting from 0. */
    void pause(int attempt);

    /** Returns an exponential back-off from {@code firstMillis} to {@code maxMillis}, jittered over its upper half. */
    static BackOff exponential(long firstMillis, long maxMillis) {
        return attempt -> {
            long fullDelay = Math.min(maxMillis, firstMillis << Math.min(attempt, 20));
            long delay = fullDelay / 2 + ThreadLocalRandom.current().nextLong(fullDelay / 2 + 1);
            try {
                TimeUnit.MILLISECONDS.sleep(delay);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
