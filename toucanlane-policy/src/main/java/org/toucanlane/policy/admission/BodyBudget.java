package org.toucanlane.policy.admission;

import com.google.common.base.Preconditions;
import java.time.Duration;

/**
 * Bounds the memory that the bodies of a host's requests take.
 *
 * <p>Load pattern: callers that send bodies of the maximum length all at once, beside callers with short ones. Long bodies
 * may take a part of the memory only, so that short ones always find some. Callers may also stop just short of the end of
 * their bodies and stay: when the memory is taken, bodies that have been incomplete for {@link #MIN_EVICTION_AGE} give way,
 * the oldest first, to bodies that arrive.
 *
 * <p>Invariant: the totals are the sums of the sizes that were granted and not given back. Not thread-safe.
 */
public final class BodyBudget {

    /** Time in which a body may be incomplete without giving way to another one. */
    public static final Duration MIN_EVICTION_AGE = Duration.ofSeconds(1);

    private static final long MAX_SHORT_BYTES = 256 << 10;

    /** Maximum size of all long bodies together, whatever memory there is. */
    private static final long MAX_LONG_TOTAL_BYTES = 28L << 20;

    /** Maximum size of all bodies together, whatever memory there is. */
    private static final long MAX_TOTAL_BYTES = 40L << 20;

    /** Part of the memory for long bodies. */
    private static final double LONG_FRACTION = 7.0 / 16;

    /** Part of the memory for bodies; the rest is for reads and writes. */
    private static final double TOTAL_FRACTION = 5.0 / 8;

    private final long maxShortBytes;
    private final long maxLongTotal;
    private final long maxTotal;
    private long longTotal;
    private long total;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param maxShortBytes maximum size of a short body
     * @param maxLongTotal maximum size of all long bodies together
     * @param maxTotal maximum size of all bodies together
     */
    public BodyBudget(long maxShortBytes, long maxLongTotal, long maxTotal) {
        this.maxShortBytes = maxShortBytes;
        this.maxLongTotal = maxLongTotal;
        this.maxTotal = maxTotal;
    }

    /** Creates a budget of which nothing is taken, for a process with {@code memoryBytes} outside its heap. */
    public static BodyBudget within(long memoryBytes) {
        Preconditions.checkArgument(memoryBytes > 0, "memoryBytes must be positive: %s", memoryBytes);
        return new BodyBudget(
                MAX_SHORT_BYTES,
                Math.min(MAX_LONG_TOTAL_BYTES, (long) (memoryBytes * LONG_FRACTION)),
                Math.min(MAX_TOTAL_BYTES, (long) (memoryBytes * TOTAL_FRACTION)));
    }

    /**
     * Changes the size that is granted to a body.
     *
     * @param from size granted before, or 0
     * @param to new size, or 0 to give back all
     * @return whether the new size is granted; if not, {@code from} remains granted. A smaller size always is
     */
    public boolean resize(long from, long to) {
        long newTotal = total - from + to;
        long newLongTotal = longTotal - longBytes(from) + longBytes(to);
        if (to > from && (newTotal > maxTotal || longBytes(to) > 0 && newLongTotal > maxLongTotal)) {
            return false;
        }
        total = newTotal;
        longTotal = newLongTotal;
        return true;
    }

    /**
     * Returns whether an incomplete body of {@code heldBytes} gives way to one of {@code newBytes} for which there is no
     * memory.
     *
     * @param ageNanos time since the first byte of the incomplete body was read
     */
    public boolean givesWay(long heldBytes, long ageNanos, long newBytes) {
        return heldBytes > 0
                && ageNanos >= MIN_EVICTION_AGE.toNanos()
                && (longBytes(heldBytes) > 0 || longBytes(newBytes) == 0);
    }

    private long longBytes(long size) {
        return size > maxShortBytes ? size : 0;
    }

    /** Returns the size of all bodies together. */
    public long total() {
        return total;
    }
}
