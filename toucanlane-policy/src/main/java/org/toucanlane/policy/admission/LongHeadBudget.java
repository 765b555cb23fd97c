package org.toucanlane.policy.admission;

import com.google.common.base.Preconditions;

/**
 * Bounds the memory that the long heads of requests in progress take.
 *
 * <p>Load pattern: many requests at once that name a thousand prompt parts each, which take many times the length of the head
 * while the request runs. Short heads aren't counted, so that ordinary requests always find memory.
 *
 * <p>Invariant: the total is the sum of the sizes that were taken and not given back. Not thread-safe.
 */
public final class LongHeadBudget {

    /** Maximum number of characters of a head that isn't counted. */
    private static final int MAX_SHORT_LENGTH = 2 << 10;

    /** Memory that a character of a head takes while its request runs: a prompt part has some twelve and several objects. */
    private static final int BYTES_PER_CHARACTER = 12;

    private final long maxTotal;
    private long total;

    private LongHeadBudget(long maxTotal) {
        this.maxTotal = maxTotal;
    }

    /** Creates a budget of {@code maxTotal} bytes of which nothing is taken. */
    public static LongHeadBudget of(long maxTotal) {
        Preconditions.checkArgument(maxTotal > 0, "maxTotal must be positive: %s", maxTotal);
        return new LongHeadBudget(maxTotal);
    }

    /** Returns the memory in bytes that is counted for a head of {@code length} characters. */
    public static long bytesOf(int length) {
        return length <= MAX_SHORT_LENGTH ? 0 : (long) length * BYTES_PER_CHARACTER;
    }

    /** Takes {@code bytes} and returns true, or returns false if there are too few. A head that is alone always fits. */
    public boolean take(long bytes) {
        if (total > 0 && total + bytes > maxTotal && bytes > 0) {
            return false;
        }
        total += bytes;
        return true;
    }

    /** Gives back {@code bytes} that were taken. */
    public void giveBack(long bytes) {
        total -= bytes;
    }
}
