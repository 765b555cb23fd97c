package org.toucanlane.coordination.clock;

/**
 * A source of time that never goes back and has no fixed origin.
 *
 * <p>Readings of one clock may be compared with one another only. Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

    /** Returns the current reading in nanoseconds. */
    long nanos();

    /** Returns the clock of this process, {@link System#nanoTime()}. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
