package org.toucanlane.policy.quarantine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The last time at which each prompt segment was part of an answer that went on.
 *
 * <p>Holds the {@link #MAX_RECENT} segments that were recorded last, and in addition all suspects, so that frequent
 * recording cannot evict what clears a suspect. Not thread-safe.
 */
final class Survivals {

    static final int MAX_RECENT = 16_384;

    private final Map<String, Long> recent = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_RECENT;
        }
    };

    private final Map<String, Long> suspects = new HashMap<>();

    /** Records a survival; the latest time counts. */
    void record(String segment, long time, boolean suspect) {
        recent.merge(segment, time, Math::max);
        if (suspect) {
            suspects.merge(segment, time, Math::max);
        }
    }

    /** Keeps what is known of a segment until {@link #retainSuspects}. */
    void addSuspect(String segment) {
        Long last = recent.get(segment);
        if (last != null) {
            suspects.merge(segment, last, Math::max);
        }
    }

    /** Forgets suspects other than these. */
    void retainSuspects(Set<String> segments) {
        suspects.keySet().retainAll(segments);
    }

    /** Returns the last survival of a suspect, in monotonic nanoseconds. */
    OptionalLong ofSuspect(String segment) {
        Long last = suspects.get(segment);
        return last == null ? OptionalLong.empty() : OptionalLong.of(last);
    }

    /** Returns whether no survival of a segment is known, whether it is a suspect or not. */
    boolean isUnknown(String segment) {
        return !recent.containsKey(segment) && !suspects.containsKey(segment);
    }

    /** Returns whether a suspect survived at {@code crash} or later, and so cannot have caused it. */
    boolean clears(String segment, LoggedCrash crash) {
        Long last = suspects.get(segment);
        return last != null && last >= crash.time();
    }
}
