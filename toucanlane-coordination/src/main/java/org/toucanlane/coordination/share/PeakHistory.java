package org.toucanlane.coordination.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * The largest value recorded since any earlier point.
 *
 * <p>Invariant: values strictly decrease from the oldest kept point to the newest, because a point is dropped as soon
 * as a later one is at least as large. When the history outgrows its bound, the oldest points are merged so that
 * {@link #since} errs towards larger values. Not thread-safe.
 */
final class PeakHistory {

    private static final int MAX_POINTS = 512;

    private final TreeMap<Long, Long> points = new TreeMap<>();
    private long next;

    /** Records {@code value} and returns its point. */
    long record(long value) {
        while (!points.isEmpty() && points.lastEntry().getValue() <= value) {
            points.pollLastEntry();
        }
        long point = next++;
        points.put(point, value);
        if (points.size() > MAX_POINTS) {
            mergeOldest();
        }
        return point;
    }

    private void mergeOldest() {
        Map.Entry<Long, Long> oldest = points.pollFirstEntry();
        points.put(points.firstKey(), oldest.getValue());
    }

    /** Returns the point that the next record gets. */
    long now() {
        return next;
    }

    /** Returns the largest value recorded at or after {@code point}, or {@link Long#MIN_VALUE} if there is none. */
    long since(long point) {
        Map.Entry<Long, Long> entry = points.ceilingEntry(point);
        return entry == null ? Long.MIN_VALUE : entry.getValue();
    }

    /** Rewrites history as if every value at or after {@code point} had been larger by {@code amount}. */
    void raiseSince(long point, long amount) {
        Map.Entry<Long, Long> first = points.ceilingEntry(point);
        if (first == null || amount == 0) {
            return;
        }
        points.tailMap(point, true).replaceAll((key, value) -> value + amount);
        long raised = first.getValue() + amount;
        Map.Entry<Long, Long> before = points.lowerEntry(point);
        while (before != null && before.getValue() <= raised) {
            points.remove(before.getKey());
            before = points.lowerEntry(point);
        }
    }

    /** Forgets what only points before {@code point} need. */
    void forgetBefore(long point) {
        points.headMap(point, false).clear();
    }
}
