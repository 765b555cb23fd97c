package org.toucanlane.policy.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
 * @param excessEvents number of crash events beyond those needed
 * @param newestCrash time of the newest crash, in monotonic nanoseconds
 */
record Attribution(String segment, int excessEvents, long newestCrash) {

    static final int MIN_EVENTS = 3;

    /** Events needed against a segment that has survived before. */
    static final int MIN_EVENTS_AFTER_SURVIVAL = 8;

    /** Bounds the segments that are held back at a time. */
    static final int MAX_SEGMENTS = 8;

    /** Time within which crashes of several endpoints count as one event, since they may have lost power together. */
    static final long EVENT_NANOS = 300_000_000L;

    private static final int MIN_ENDPOINTS = 2;

    /**
     * Attributes crashes to segments, the most likely segment first.
     *
     * @param crashes crashes in order of time
     */
    static Map<String, Attribution> of(List<LoggedCrash> crashes, Survivals survivals) {
        List<LoggedCrash> unexplained = new ArrayList<>(crashes);
        Map<String, Attribution> attributions = new LinkedHashMap<>();
        while (attributions.size() < MAX_SEGMENTS) {
            Optional<Tally> likeliest = likeliest(unexplained, survivals);
            if (likeliest.isEmpty()) {
                break;
            }
            String segment = likeliest.get().segment;
            attributions.put(segment, likeliest.get().toAttribution());
            unexplained.removeIf(crash -> crash.involves(segment) && !survivals.clears(segment, crash));
        }
        return attributions;
    }

    private static Optional<Tally> likeliest(List<LoggedCrash> crashes, Survivals survivals) {
        Map<String, Tally> tallies = new HashMap<>();
        crashes.forEach(crash -> crash.positions().forEach((segment, position) -> {
            if (!survivals.clears(segment, crash)) {
                boolean survived = survivals.ofSuspect(segment).isPresent();
                tallies.computeIfAbsent(segment, id -> new Tally(id, survived)).add(crash, position);
            }
        }));
        return tallies.values().stream().filter(Tally::isSufficient).min(Tally.LIKELIEST_FIRST);
    }

    /** Counts the crash events of one segment. */
    private static final class Tally {

        /**
         * Prefers segments that never survived, so that a rare sound segment that all requests share with the crashing
         * one is not chosen. Among equals, later positions in the prompt are shared by fewer requests.
         */
        static final Comparator<Tally> LIKELIEST_FIRST = Comparator.<Tally, Boolean>comparing(tally -> tally.survived)
                .thenComparing(tally -> -tally.events)
                .thenComparing(tally -> -tally.position)
                .thenComparing(tally -> tally.segment);

        private final String segment;
        private final boolean survived;
        private final Set<Integer> endpoints = new HashSet<>();
        private int events;
        private int position;
        private long eventStart;
        private long newest;

        Tally(String segment, boolean survived) {
            this.segment = segment;
            this.survived = survived;
        }

        void add(LoggedCrash crash, int positionInPrompt) {
            if (events == 0 || crash.time() - eventStart > EVENT_NANOS) {
                events++;
                eventStart = crash.time();
                endpoints.add(crash.endpoint());
            }
            newest = crash.time();
            position = Math.max(position, positionInPrompt);
        }

        boolean isSufficient() {
            return excessEvents() >= 0 && endpoints.size() >= MIN_ENDPOINTS;
        }

        private int excessEvents() {
            return events - (survived ? MIN_EVENTS_AFTER_SURVIVAL : MIN_EVENTS);
        }

        Attribution toAttribution() {
            return new Attribution(segment, excessEvents(), newest);
        }
    }
}
