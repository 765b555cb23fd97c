package org.toucanlane.policy.quarantine;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import com.google.common.collect.Multisets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The crashes that any host has seen within {@link #RETENTION_NANOS}, in order of time and at most {@link #MAX_CRASHES}.
 *
 * <p>Two reports of one endpoint within {@link #SAME_CRASH_NANOS} are about the same crash. Not thread-safe.
 */
final class CrashLog {

    static final int MAX_CRASHES = 64;
    static final long RETENTION_NANOS = 3_600_000_000_000L;
    static final long SAME_CRASH_NANOS = 1_500_000_000L;

    private static final Comparator<LoggedCrash> BY_TIME =
            Comparator.comparingLong(LoggedCrash::time).thenComparingInt(LoggedCrash::endpoint);

    private final List<LoggedCrash> crashes = new ArrayList<>();

    /** The segments of all suspects, each as often as there are crashes that involve it. */
    private final Multiset<String> segments = HashMultiset.create();

    /** Returns the crashes in order of time. */
    List<LoggedCrash> crashes() {
        return Collections.unmodifiableList(crashes);
    }

    boolean contains(LoggedCrash crash) {
        return crashes.contains(crash);
    }

    /** Returns the crash that a report at {@code time} is about, after adding it if it is not known. */
    LoggedCrash findOrAdd(int endpoint, long time) {
        Optional<LoggedCrash> known = crashes.stream()
                .filter(crash -> crash.endpoint() == endpoint && Math.abs(crash.time() - time) <= SAME_CRASH_NANOS)
                .min(Comparator.comparingLong(crash -> Math.abs(crash.time() - time)));
        return known.orElseGet(() -> {
            LoggedCrash crash = new LoggedCrash(endpoint, time);
            crashes.add(crash);
            crashes.sort(BY_TIME);
            return crash;
        });
    }

    /** Adds suspects to a crash. Returns those that were not known and are kept. */
    Set<List<String>> addSuspects(LoggedCrash crash, List<List<String>> suspects) {
        Multisets.removeOccurrences(segments, crash.positions().keySet());
        Set<List<String>> added = crash.addAll(suspects);
        segments.addAll(crash.positions().keySet());
        return added;
    }

    /** Restores the order after a change of a crash's time. */
    void sort() {
        crashes.sort(BY_TIME);
    }

    /** Removes expired crashes. Returns whether there were any. */
    boolean expire(long now) {
        List<LoggedCrash> expired = crashes.stream()
                .filter(crash -> now - crash.time() > RETENTION_NANOS)
                .toList();
        expired.forEach(this::remove);
        return !expired.isEmpty();
    }

    /**
     * Removes crashes until the log has {@link #MAX_CRASHES}: those of the least value first, among equals the oldest.
     */
    void trim(ToIntFunction<LoggedCrash> value) {
        while (crashes.size() > MAX_CRASHES) {
            remove(Collections.min(crashes, Comparator.comparingInt(value).thenComparing(BY_TIME)));
        }
    }

    private void remove(LoggedCrash crash) {
        crashes.remove(crash);
        Multisets.removeOccurrences(segments, crash.positions().keySet());
    }

    /** Returns whether any crash involves {@code segment}. */
    boolean involves(String segment) {
        return segments.contains(segment);
    }

    /** Returns whether a crash later than {@code after}, but not later than {@code until}, involves {@code segment}. */
    boolean involvesWithin(String segment, long after, long until) {
        return involves(segment)
                && crashes.stream()
                        .anyMatch(crash -> crash.time() > after && crash.time() <= until && crash.involves(segment));
    }

    /** Returns the segments of all suspects. */
    Set<String> segments() {
        return Collections.unmodifiableSet(segments.elementSet());
    }

    /** Returns the segments of all suspects, each as often as there are crashes that involve it. */
    Multiset<String> segmentCounts() {
        return Multisets.unmodifiableMultiset(segments);
    }
}
