package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.toucanlane.edge.fleet.PromptSegment;

/**
 * Prompt parts that were sent to endpoints lately and are to be told to other hosts.
 *
 * <p>Each is told in several rounds, since a datagram may be lost, and then not again for a while, since it stays true.
 * Used on one event loop only.
 */
final class SegmentAnnouncements {

    /** Shorter parts cost an engine less to read than it costs to tell of them. */
    private static final long MIN_TOKENS = 512;

    /** Parts in one report; what exceeds it waits for the next round. */
    private static final int MAX_SEGMENTS_PER_REPORT = 24;

    /** Rounds in which a part is told: each receiver hears every fourth at least. */
    private static final int ANNOUNCED_ROUNDS = 6;

    /** Rounds after which a part that was sent again is told again, so that others know which ones are in use. */
    private static final int RETAINED_ROUNDS = 12;

    private final Map<Announcement, Integer> roundsByAnnouncement = new LinkedHashMap<>();

    /** Adds the parts of a prompt that other requests may share. */
    void addPrompt(int endpoint, List<PromptSegment> parts) {
        add(endpoint, parts.subList(0, Math.max(0, parts.size() - 1)));
    }

    /** Adds parts. */
    void add(int endpoint, List<PromptSegment> parts) {
        parts.stream()
                .filter(part -> part.tokens() >= MIN_TOKENS)
                .forEach(part -> roundsByAnnouncement.putIfAbsent(new Announcement(endpoint, part), 0));
    }

    /** Returns what to tell in this round of the endpoints that {@code wanted} accepts. */
    Map<Integer, List<PromptSegment>> pending(IntPredicate wanted) {
        Map<Integer, List<PromptSegment>> parts = new HashMap<>();
        roundsByAnnouncement.entrySet().stream()
                .filter(entry -> entry.getValue() < ANNOUNCED_ROUNDS)
                .map(Map.Entry::getKey)
                .filter(entry -> wanted.test(entry.endpoint()))
                .limit(MAX_SEGMENTS_PER_REPORT)
                .forEach(entry -> parts.computeIfAbsent(entry.endpoint(), key -> new ArrayList<>())
                        .add(entry.segment()));
        return parts;
    }

    /** Ends a round. */
    void nextRound() {
        roundsByAnnouncement.replaceAll((entry, rounds) -> rounds + 1);
        roundsByAnnouncement.values().removeIf(rounds -> rounds >= RETAINED_ROUNDS);
    }

    private record Announcement(int endpoint, PromptSegment segment) {}
}
