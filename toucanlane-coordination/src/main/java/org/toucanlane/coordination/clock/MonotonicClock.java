package org.toucanlane.coordination.clock;

/**
 * A time source that never goes backwards and has no fixed origin.
 *
 * <p>Readings are comparable only with other readings of the same clock. Implementations are thread-safe.
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
