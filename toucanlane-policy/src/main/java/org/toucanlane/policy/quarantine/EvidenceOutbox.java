package org.toucanlane.policy.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.toucanlane.policy.quarantine.CrashEvidence.Clearance;
import org.toucanlane.policy.quarantine.CrashEvidence.Crash;

/**
 * Chooses which evidence a host sends in each round.
 *
 * <p>New evidence goes first, and is repeated in {@link #ROUNDS} rounds since datagrams get lost; each entry is sent once
 * before any is repeated. Retained evidence on segments in quarantine is sent once in {@link #RETAINED_INTERVAL} rounds,
 * and some of the other, in turn, in every {@link #OTHERS_INTERVAL} rounds; all other rounds are empty. Retained evidence
 * is accompanied by what clears its segments, so that a host that starts later does not suspect them.
 *
 * <p>The time that is sent for a survival stays the same until a later one clears another crash. Otherwise each pass from
 * host to host would add the network delay to it. Not thread-safe.
 */
final class EvidenceOutbox {

    static final int ROUNDS = 6;
    static final int MAX_BYTES = 1_200;
    static final int RETAINED_INTERVAL = 10;
    static final int OTHERS_INTERVAL = 40;

    private static final int CRASH_BYTES = 12;
    private static final int CLEARANCE_BYTES = 8;

    private final CrashLog log;
    private final Survivals survivals;

    /** Number of rounds in which each entry was sent; the entry that was sent last comes last. */
    private final Map<Entry, Integer> roundsSent = new LinkedHashMap<>();

    /** Retained evidence on segments in quarantine that is still to be sent in this interval. */
    private final Set<Entry> due = new LinkedHashSet<>();

    private final Map<String, Long> survivalsSent = new HashMap<>();
    private long round;

    EvidenceOutbox(CrashLog log, Survivals survivals) {
        this.log = log;
        this.survivals = survivals;
    }

    /** Adds new suspects of a crash, and what is known to clear their segments. */
    void addSuspects(LoggedCrash crash, Set<List<String>> suspects) {
        suspects.forEach(suspect -> {
            roundsSent.put(new Entry.Suspect(crash, suspect), 0);
            suspect.forEach(this::addClearance);
        });
    }

    /** Adds the survival of a suspect if there is one that other hosts were not told of and that clears a crash. */
    void addClearance(String segment) {
        if (updateSurvivalSent(segment)) {
            roundsSent.remove(new Entry.Cleared(segment));
            roundsSent.put(new Entry.Cleared(segment), 0);
        }
    }

    /** Removes entries on what is no longer in the log. */
    void retain(Set<String> segments) {
        roundsSent.keySet().removeIf(entry -> !entry.isRetained(log, segments));
        due.retainAll(roundsSent.keySet());
        survivalsSent.keySet().retainAll(segments);
    }

    /** Returns what to send in the next round. */
    CrashEvidence next(long now, Set<String> quarantined) {
        Predicate<Entry> isRetained = entry -> !isNew(entry) && entry.isUseful(survivals);
        if (round % RETAINED_INTERVAL == 0) {
            roundsSent.keySet().stream()
                    .filter(isRetained.and(entry -> entry.isAbout(quarantined)))
                    .forEach(due::add);
        }
        boolean othersDue = round % OTHERS_INTERVAL == RETAINED_INTERVAL / 2;
        Stream<Entry> fresh =
                roundsSent.keySet().stream().filter(this::isNew).sorted(Comparator.comparingInt(roundsSent::get));
        Stream<Entry> others =
                roundsSent.keySet().stream().filter(isRetained.and(entry -> othersDue && !entry.isAbout(quarantined)));
        List<Entry> candidates = Stream.of(fresh, due.stream(), others)
                .flatMap(entries -> entries)
                .toList();
        Message message = new Message(now);
        candidates.stream().filter(entry -> message.add(entry, isNew(entry))).forEach(this::countRound);
        round++;
        return message.toEvidence();
    }

    private boolean isNew(Entry entry) {
        return roundsSent.get(entry) < ROUNDS;
    }

    private void countRound(Entry entry) {
        due.remove(entry);
        int rounds = roundsSent.remove(entry);
        roundsSent.put(entry, Math.min(rounds + 1, ROUNDS));
    }

    private boolean updateSurvivalSent(String segment) {
        OptionalLong last = survivals.ofSuspect(segment);
        Long sent = survivalsSent.get(segment);
        boolean changed = last.isPresent() && (sent == null || log.involvesWithin(segment, sent, last.getAsLong()));
        if (changed) {
            survivalsSent.put(segment, last.getAsLong());
        }
        return changed;
    }

    /** What is sent, or not, as a whole. */
    private sealed interface Entry {

        boolean isRetained(CrashLog log, Set<String> segments);

        boolean isAbout(Set<String> quarantined);

        /** Returns whether the entry is of use to a host that starts later. */
        boolean isUseful(Survivals survivals);

        /** A request that a crash may be due to. */
        record Suspect(LoggedCrash crash, List<String> segments) implements Entry {

            @Override
            public boolean isRetained(CrashLog log, Set<String> retained) {
                return log.contains(crash) && crash.suspects().contains(segments);
            }

            @Override
            public boolean isAbout(Set<String> quarantined) {
                return segments.stream().anyMatch(quarantined::contains);
            }

            @Override
            public boolean isUseful(Survivals survivals) {
                return segments.stream().anyMatch(segment -> !survivals.clears(segment, crash));
            }
        }

        /** A segment that survived. Once it is no longer new, it is sent with the suspects only. */
        record Cleared(String segment) implements Entry {

            @Override
            public boolean isRetained(CrashLog log, Set<String> retained) {
                return retained.contains(segment);
            }

            @Override
            public boolean isAbout(Set<String> quarantined) {
                return quarantined.contains(segment);
            }

            @Override
            public boolean isUseful(Survivals survivals) {
                return false;
            }
        }
    }

    /** The entries of one round. */
    private final class Message {

        private final long now;
        private final Map<LoggedCrash, List<List<String>>> crashes = new LinkedHashMap<>();
        private final Set<String> clearances = new HashSet<>();
        private int bytes;

        Message(long now) {
            this.now = now;
        }

        /** Adds an entry, unless the message would get too long. An entry that is too long by itself is sent alone. */
        boolean add(Entry entry, boolean isNew) {
            List<String> cleared = new ArrayList<>();
            int length = 0;
            if (entry instanceof Entry.Suspect suspect) {
                length = CRASH_BYTES + length(suspect.segments());
                suspect.segments().stream()
                        .filter(segment -> !isNew && survivalsSent.containsKey(segment))
                        .forEach(cleared::add);
            } else if (entry instanceof Entry.Cleared clearance) {
                cleared.add(clearance.segment());
            }
            cleared.removeIf(clearances::contains);
            length += length(cleared) + CLEARANCE_BYTES * cleared.size();
            if (bytes > 0 && bytes + length > MAX_BYTES) {
                return false;
            }
            if (entry instanceof Entry.Suspect suspect) {
                crashes.computeIfAbsent(suspect.crash(), crash -> new ArrayList<>())
                        .add(suspect.segments());
            }
            clearances.addAll(cleared);
            bytes += length;
            return true;
        }

        CrashEvidence toEvidence() {
            return new CrashEvidence(
                    crashes.entrySet().stream()
                            .map(entry -> new Crash(
                                    entry.getKey().endpoint(),
                                    age(entry.getKey().time()),
                                    entry.getValue()))
                            .toList(),
                    clearances.stream()
                            .sorted()
                            .map(segment -> new Clearance(segment, age(survivalsSent.get(segment))))
                            .toList());
        }

        private Duration age(long time) {
            return Duration.ofNanos(Math.max(0, now - time));
        }

        private static int length(List<String> segments) {
            return segments.stream().mapToInt(segment -> segment.length() + 1).sum();
        }
    }
}
