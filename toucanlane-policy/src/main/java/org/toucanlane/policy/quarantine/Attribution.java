package org.toucanlane.policy.quarantine;

import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A segment to which crashes are attributed.
 *
 * <p>A segment that crashes endpoints does so each time, so a crash counts against a segment only if the segment has not
 * survived since. A crash that is attributed to one segment is no evidence against others. Immutable.
 *
 * @param segment id of the segment
 * @param renewals number of crash events that came so long after the one before that the quarantine had expired
 * @param newestCrash time of the newest crash, in monotonic nanoseconds
 */
record Attribution(String segment, int renewals, long newestCrash) {

    static final int MIN_EVENTS = 3;

    /** Events needed against a segment that has survived before. */
    static final int MIN_EVENTS_AFTER_SURVIVAL = 8;

    /** Bounds the segments that are held back at a time. */
    static final int MAX_SEGMENTS = 8;

    /** Bounds the time for an attribution, since requests wait for it. */
    static final int MAX_CANDIDATES = 128;

    /** Time within which crashes of several endpoints count as one event, since they may have lost power together. */
    static final long EVENT_NANOS = 300_000_000L;

    /** Shortest time of a quarantine. */
    static final long MIN_HOLD_NANOS = 120_000_000_000L;

    private static final int MIN_ENDPOINTS = 2;

    /** Attributes crashes to segments, the most likely segment first. */
    static Map<String, Attribution> of(CrashLog log, Survivals survivals) {
        List<LoggedCrash> unexplained = new ArrayList<>(log.crashes());
        List<String> candidates = candidates(log, survivals);
        Map<String, Attribution> attributions = new LinkedHashMap<>();
        while (attributions.size() < MAX_SEGMENTS) {
            List<Tally> tallies = candidates.stream()
                    .map(segment -> tally(segment, unexplained, survivals))
                    .filter(Tally::hasEnoughEvents)
                    .toList();
            Optional<Tally> likeliest =
                    tallies.stream().filter(Tally::isSufficient).min(Tally.LIKELIEST_FIRST);
            if (likeliest.isEmpty()) {
                break;
            }
            String segment = likeliest.get().segment;
            attributions.put(segment, likeliest.get().toAttribution());
            // Without the explained crashes, no other segment gains events.
            candidates = tallies.stream().map(tally -> tally.segment).toList();
            unexplained.removeIf(crash -> crash.involves(segment) && !survivals.clears(segment, crash));
        }
        return attributions;
    }

    /** Returns the segments that most crashes involve. */
    private static List<String> candidates(CrashLog log, Survivals survivals) {
        if (log.crashes().isEmpty()) {
            return List.of();
        }
        LoggedCrash newest = log.crashes().get(log.crashes().size() - 1);
        return log.segmentCounts().entrySet().stream()
                .filter(entry -> entry.getCount() >= MIN_EVENTS && !survivals.clears(entry.getElement(), newest))
                .sorted(Comparator.<Multiset.Entry<String>, Boolean>comparing(
                                entry -> survivals.ofSuspect(entry.getElement()).isPresent())
                        .thenComparing(entry -> -entry.getCount())
                        .thenComparing(Multiset.Entry::getElement))
                .limit(MAX_CANDIDATES)
                .map(Multiset.Entry::getElement)
                .toList();
    }

    private static Tally tally(String segment, List<LoggedCrash> crashes, Survivals survivals) {
        Tally tally = new Tally(segment, survivals.ofSuspect(segment).isPresent());
        crashes.stream()
                .filter(crash -> crash.involves(segment) && !survivals.clears(segment, crash))
                .forEach(crash -> tally.add(crash, crash.positions().get(segment)));
        return tally;
    }

    /** Counts the crash events of one segment. */
    private static final class Tally {

        /**
         * Prefers segments that never survived: a sound segment that stands beside the crashing one in as many crashes
         * has usually survived in other requests. Among these prefers the segment with the most events, then the later
         * position in the prompt, which fewer requests share.
         */
        static final Comparator<Tally> LIKELIEST_FIRST = Comparator.<Tally, Boolean>comparing(tally -> tally.survived)
                .thenComparing(tally -> -tally.events)
                .thenComparing(tally -> -tally.position)
                .thenComparing(tally -> tally.segment);

        private final String segment;
        private final boolean survived;
        private final Set<Integer> endpoints = new HashSet<>();
        private int events;
        private int renewals;
        private int position;
        private long eventStart;
        private long newest;

        Tally(String segment, boolean survived) {
            this.segment = segment;
            this.survived = survived;
        }

        void add(LoggedCrash crash, int positionInPrompt) {
            if (events == 0 || crash.time() - eventStart > EVENT_NANOS) {
                renewals += hasEnoughEvents() && crash.time() - newest > MIN_HOLD_NANOS ? 1 : 0;
                events++;
                eventStart = crash.time();
                endpoints.add(crash.endpoint());
            }
            newest = crash.time();
            position = Math.max(position, positionInPrompt);
        }

        boolean isSufficient() {
            return hasEnoughEvents() && endpoints.size() >= MIN_ENDPOINTS;
        }

        boolean hasEnoughEvents() {
            return events >= (survived ? MIN_EVENTS_AFTER_SURVIVAL : MIN_EVENTS);
        }

        Attribution toAttribution() {
            return new Attribution(segment, renewals, newest);
        }
    }
}
