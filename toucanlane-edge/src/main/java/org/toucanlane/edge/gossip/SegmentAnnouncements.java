package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.toucanlane.edge.fleet.PromptSegment;

/**
 * Recently sent prompt segments that are to be announced to other hosts.
 *
 * <p>Each segment is announced in several rounds, since datagrams may be lost. Repeats are then suppressed for some
 * rounds, since the segment stays cached. Not thread-safe: confined to one event loop.
 */
final class SegmentAnnouncements {

    /** Minimum segment length; processing a shorter one costs an engine less than announcing it. */
    private static final long MIN_TOKENS = 512;

    /** Maximum number of segments in one report; the others wait for the next round. */
    private static final int MAX_SEGMENTS_PER_REPORT = 24;

    /** Rounds in which a segment is announced; each receiver gets a report at least every fourth round. */
    private static final int ANNOUNCED_ROUNDS = 6;

    /**
     * Rounds after which a segment that is sent again is announced again, so that other hosts see it is still in use.
     */
    private static final int RETAINED_ROUNDS = 12;

    /**
     * Maximum number of segments that are kept; more than are announced while they are retained. Beyond it the segments of
     * further prompts aren't announced, and other hosts learn of them from requests of their own.
     */
    static final int MAX_SEGMENTS = 2_048;

    private final Map<Announcement, Integer> roundsByAnnouncement = new LinkedHashMap<>();

    /** Adds all segments of a prompt except the last, which other requests do not share. */
    void addPrompt(int endpoint, List<PromptSegment> segments) {
        add(endpoint, segments.subList(0, Math.max(0, segments.size() - 1)));
    }

    /** Adds segments that were sent to an endpoint, except short ones. */
    void add(int endpoint, List<PromptSegment> segments) {
        segments.stream()
                .filter(segment -> segment.tokens() >= MIN_TOKENS)
                .limit(MAX_SEGMENTS - roundsByAnnouncement.size())
                .forEach(segment -> roundsByAnnouncement.putIfAbsent(new Announcement(endpoint, segment), 0));
    }

    /** Returns the segments to announce in this round, by endpoint, for the endpoints that {@code filter} accepts. */
    Map<Integer, List<PromptSegment>> pending(IntPredicate filter) {
        Map<Integer, List<PromptSegment>> segments = new HashMap<>();
        roundsByAnnouncement.entrySet().stream()
                .filter(entry -> entry.getValue() < ANNOUNCED_ROUNDS)
                .map(Map.Entry::getKey)
                .filter(announcement -> filter.test(announcement.endpoint()))
                .limit(MAX_SEGMENTS_PER_REPORT)
                .forEach(announcement -> segments.computeIfAbsent(announcement.endpoint(), key -> new ArrayList<>())
                        .add(announcement.segment()));
        return segments;
    }

    /** Returns the number of segments that are kept. */
    int size() {
        return roundsByAnnouncement.size();
    }

    /** Completes a round. */
    void nextRound() {
        roundsByAnnouncement.replaceAll((entry, rounds) -> rounds + 1);
        roundsByAnnouncement.values().removeIf(rounds -> rounds >= RETAINED_ROUNDS);
    }

    private record Announcement(int endpoint, PromptSegment segment) {}
}
