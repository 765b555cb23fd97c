package org.toucanlane.standins.measure;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * Open-loop load generator: starts calls at a fixed rate, whether or not earlier calls have completed. Stateless and
 * thread-safe.
 */
final class OpenLoopGenerator {

    private static final long DRAIN_SECONDS = 60;

    private OpenLoopGenerator() {}

    /**
     * Runs {@code call} {@code perSecond} times a second for {@code seconds}, passing the call index 0,
     * 1, 2 and so on. Each call runs on a thread of its own; calls that are still running {@value #DRAIN_SECONDS}
     * seconds after the last start are interrupted.
     */
    static void run(double perSecond, double seconds, IntConsumer call) throws InterruptedException {
        ExecutorService threads = Executors.newCachedThreadPool();
        long interval = (long) (TimeUnit.SECONDS.toNanos(1) / perSecond);
        int count = (int) (perSecond * seconds);
        long next = System.nanoTime();
        for (int i = 0; i < count; i++) {
            int index = i;
            TimeUnit.NANOSECONDS.sleep(next - System.nanoTime());
            threads.execute(() -> call.accept(index));
            next += interval;
        }
        threads.shutdown();
        if (!threads.awaitTermination(DRAIN_SECONDS, TimeUnit.SECONDS)) {
            threads.shutdownNow();
        }
    }
}
