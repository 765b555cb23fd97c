package org.toucanlane.coordination.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * The largest value recorded since any earlier point.
 *
 * <p>Invariant: values strictly decrease from the oldest kept point to the newest, because a point is dropped as soon
 * as a later one is at least as large. When the history outgrows its bound, the oldest points are merged so that
 * {@link #maxSince} errs towards larger values. Not thread-safe.
 */
final class PeakHistory {

    private static final int MAX_ENTRIES = 512;

    private final TreeMap<Long, Long> maxima = new TreeMap<>();
    private long next;

    /** Records {@code value} and returns its point. */
    long record(long value) {
        while (!maxima.isEmpty() && maxima.lastEntry().getValue() <= value) {
            maxima.pollLastEntry();
        }
        long point = next++;
        maxima.put(point, value);
        if (maxima.size() > MAX_ENTRIES) {
            mergeOldest();
        }
        return point;
    }

    private void mergeOldest() {
        Map.Entry<Long, Long> oldest = maxima.pollFirstEntry();
        maxima.put(maxima.firstKey(), oldest.getValue());
    }

    /** Returns the point that the next record gets. */
    long nextIndex() {
        return next;
    }

    /** Returns the largest value recorded at or after {@code point}, or {@link Long#MIN_VALUE} if there is none. */
    long maxSince(long point) {
        Map.Entry<Long, Long> entry = maxima.ceilingEntry(point);
        return entry == null ? Long.MIN_VALUE : entry.getValue();
    }

    /** Rewrites history as if every value at or after {@code point} had been larger by {@code amount}. */
    void raiseSince(long point, long amount) {
        Map.Entry<Long, Long> first = maxima.ceilingEntry(point);
        if (first == null || amount == 0) {
            return;
        }
        maxima.tailMap(point, true).replaceAll((key, value) -> value + amount);
        long raised = first.getValue() + amount;
        Map.Entry<Long, Long> before = maxima.lowerEntry(point);
        while (before != null && before.getValue() <= raised) {
            maxima.remove(before.getKey());
            before = maxima.lowerEntry(point);
        }
    }

    /** Forgets what only points before {@code point} need. */
    void discardBefore(long point) {
        maxima.headMap(point, false).clear();
    }
}
