package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import org.toucanlane.edge.fleet.CachedPart;

/**
 * Prompt parts that were sent to endpoints lately and are to be told to other hosts.
 *
 * <p>Each is told in several rounds, since a datagram may be lost, and then not again for a while, since it stays true.
 * Used on one event loop only.
 */
final class CachedParts {

    /** Shorter parts cost an engine less to read than it costs to tell of them. */
    private static final long LEAST_TOKENS = 512;

    /** Parts in one report; what exceeds it waits for the next round. */
    private static final int PARTS_PER_REPORT = 24;

    /** Rounds in which a part is told: each receiver hears every fourth at least. */
    private static final int ROUNDS_TOLD = 6;

    /** Rounds after which a part that was sent again is told again, so that others know which ones are in use. */
    private static final int ROUNDS_KNOWN = 12;

    private final Map<Entry, Integer> told = new LinkedHashMap<>();

    /** Adds the parts of a prompt that other requests may share. */
    void addPrompt(int endpoint, List<CachedPart> parts) {
        add(endpoint, parts.subList(0, Math.max(0, parts.size() - 1)));
    }

    /** Adds parts. */
    void add(int endpoint, List<CachedPart> parts) {
        parts.stream()
                .filter(part -> part.tokens() >= LEAST_TOKENS)
                .forEach(part -> told.putIfAbsent(new Entry(endpoint, part), 0));
    }

    /** Returns what to tell in this round of the endpoints that {@code wanted} accepts. */
    Map<Integer, List<CachedPart>> toTell(IntPredicate wanted) {
        Map<Integer, List<CachedPart>> parts = new HashMap<>();
        told.entrySet().stream()
                .filter(entry -> entry.getValue() < ROUNDS_TOLD)
                .map(Map.Entry::getKey)
                .filter(entry -> wanted.test(entry.endpoint()))
                .limit(PARTS_PER_REPORT)
                .forEach(entry -> parts.computeIfAbsent(entry.endpoint(), key -> new ArrayList<>())
                        .add(entry.part()));
        return parts;
    }

    /** Ends a round. */
    void nextRound() {
        told.replaceAll((entry, rounds) -> rounds + 1);
        told.values().removeIf(rounds -> rounds >= ROUNDS_KNOWN);
    }

    private record Entry(int endpoint, CachedPart part) {}
}
