package org.toucanlane.edge.call;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * The time from the moment at which a host begins to stop until it ends the requests that are still running.
 *
 * <p>Invariant: it begins at most once. Used on the host's event loop only.
 */
final class GracePeriod {

    private static final double NANOS_PER_MILLI = 1e6;

    private boolean begun;
    private long beginNanos;
    private long endNanos;

    /**
     * Begins the grace period.
     *
     * @param now a {@link System#nanoTime()} value
     */
    void begin(long now, Duration length) {
        Preconditions.checkState(!begun, "grace period has already begun");
        begun = true;
        beginNanos = now;
        endNanos = now + length.toNanos();
    }

    boolean hasBegun() {
        return begun;
    }

    /** Returns the time left at {@code now}; negative if the grace period is over. */
    Duration remaining(long now) {
        Preconditions.checkState(begun, "grace period has not begun");
        return Duration.ofNanos(endNanos - now);
    }

    /** Returns the milliseconds from the beginning to {@code time}, or -1 if {@code time} is earlier. */
    double millisUntil(long time) {
        return begun && time - beginNanos >= 0 ? (time - beginNanos) / NANOS_PER_MILLI : -1;
    }
}
