package org.toucanlane.coordination.share;

import java.util.Map;
import java.util.TreeMap;

/**
 * A sequence of recorded values that answers queries for the maximum since a given index.
 *
 * <p>Invariant: the retained values strictly decrease from the oldest to the newest, because an entry is dropped once a
 * later value is at least as large. When the history exceeds its bound, the two oldest entries are merged so that
 * {@link #maxSince} overestimates rather than underestimates. Not thread-safe.
 */
final class PeakHistory {

    private static final int MAX_ENTRIES = 512;

    private final TreeMap<Long, Long> maxima = new TreeMap<>();
    private long next;

    /** Records {@code value} and returns its index. */
    long record(long value) {
        while (!maxima.isEmpty() && maxima.lastEntry().getValue() <= value) {
            maxima.pollLastEntry();
        }
        long index = next++;
        maxima.put(index, value);
        if (maxima.size() > MAX_ENTRIES) {
            mergeOldest();
        }
        return index;
    }

    private void mergeOldest() {
        Map.Entry<Long, Long> oldest = maxima.pollFirstEntry();
        maxima.put(maxima.firstKey(), oldest.getValue());
    }

    /** Returns the index that the next recorded value gets. */
    long nextIndex() {
        return next;
    }

    /** Returns the largest value recorded at or after {@code index}, or {@link Long#MIN_VALUE} if there is none. */
    long maxSince(long index) {
        Map.Entry<Long, Long> entry = maxima.ceilingEntry(index);
        return entry == null ? Long.MIN_VALUE : entry.getValue();
    }

    /** Adds {@code amount} to every value recorded at or after {@code index}. */
    void raiseSince(long index, long amount) {
        Map.Entry<Long, Long> first = maxima.ceilingEntry(index);
        if (first == null || amount == 0) {
            return;
        }
        maxima.tailMap(index, true).replaceAll((key, value) -> value + amount);
        long raised = first.getValue() + amount;
        Map.Entry<Long, Long> before = maxima.lowerEntry(index);
        while (before != null && before.getValue() <= raised) {
            maxima.remove(before.getKey());
            before = maxima.lowerEntry(index);
        }
    }

    /** Discards the entries before {@code index}. */
    void discardBefore(long index) {
        maxima.headMap(index, false).clear();
    }
}
