package org.toucanlane.coordination.claim;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** How long to wait before a write is tried again. Implementations are thread-safe. */
@FunctionalInterface
public interface BackOff {

    /** Waits after the attempt numbered {@code round}, from 0. */
    void pause(int round);

    /** Returns pauses that double from {@code firstMillis} to {@code longestMillis}, each drawn from its upper half. */
    static BackOff exponential(long firstMillis, long longestMillis) {
        return round -> {
            long whole = Math.min(longestMillis, firstMillis << Math.min(round, 20));
            long drawn = whole / 2 + ThreadLocalRandom.current().nextLong(whole / 2 + 1);
            try {
                TimeUnit.MILLISECONDS.sleep(drawn);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
