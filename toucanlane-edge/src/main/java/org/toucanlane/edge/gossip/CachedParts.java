package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanlane.edge.fleet.CachedPart;

/**
 * Prompt parts that were sent to endpoints lately and are to be told to other hosts.
 *
 * <p>Each is told in several rounds, since a datagram may be lost. Used on one event loop only.
 */
final class CachedParts {

    /** Shorter parts cost an engine less to read than it costs to tell of them. */
    private static final long LEAST_TOKENS = 512;

    /** Parts in one report; what exceeds it waits for the next round. */
    private static final int PARTS_PER_REPORT = 16;

    private final Map<Entry, Integer> told = new HashMap<>();

    /** Adds the parts of a prompt that other requests may share. */
    void add(String endpoint, List<CachedPart> parts) {
        parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .filter(part -> part.tokens() >= LEAST_TOKENS)
                .forEach(part -> told.put(new Entry(endpoint, part), 0));
    }

    /** Returns what to tell in this round, by endpoint. */
    Map<String, List<CachedPart>> toTell() {
        Map<String, List<CachedPart>> parts = new HashMap<>();
        told.keySet().stream()
                .limit(PARTS_PER_REPORT)
                .forEach(entry -> parts.computeIfAbsent(entry.endpoint(), key -> new ArrayList<>())
                        .add(entry.part()));
        return parts;
    }

    /** Ends a round; parts that were told in {@code rounds} of them are told no more. */
    void nextRound(int rounds) {
        told.replaceAll((entry, count) -> count + 1);
        told.values().removeIf(count -> count >= rounds);
    }

    private record Entry(String endpoint, CachedPart part) {}
}
