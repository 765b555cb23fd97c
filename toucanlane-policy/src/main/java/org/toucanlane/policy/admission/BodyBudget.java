package org.toucanlane.policy.admission;

/**
 * Bounds the memory that the bodies of a host's requests take.
 *
 * <p>Load pattern: callers that send bodies of the maximum length all at once, beside callers with short ones. Long bodies
 * may take a part of the memory only, so that short ones always find some.
 *
 * <p>Invariant: the totals are the sums of the sizes that were granted and not given back. Not thread-safe.
 */
public final class BodyBudget {

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

    private long longBytes(long size) {
        return size > maxShortBytes ? size : 0;
    }

    /** Returns the size of all bodies together. */
    public long total() {
        return total;
    }
}
