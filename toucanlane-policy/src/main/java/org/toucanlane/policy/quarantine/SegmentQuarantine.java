package org.toucanlane.policy.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.toucanlane.coordination.hash.RendezvousHash;

/**
 * Finds prompt segments on which endpoints crash, and keeps requests with such a segment from the endpoints.
 *
 * <p>Load pattern: requests that share a route, a client account and their first segments arrive at all hosts. A few of
 * them hold a segment on which each endpoint crashes as soon as it begins the answer, and is back after some seconds.
 * Retries and further requests take one endpoint after the other, with all streams that run there. No host alone sees
 * enough crashes to tell the segment from those that stand beside it, so hosts exchange what they see.
 *
 * <p>The whole request counts as one more segment, the last one, by a fingerprint that is equal for all requests with the
 * same content: endpoints may crash on a request that is repeated, whatever its prompt, and on one without a prompt. A
 * request that is sent once only can't be held back.
 *
 * <p>A segment is in quarantine while it is a suspect in several crash events on different endpoints and has not survived
 * since the first of them. Of the segments that account for the same crashes only one is in quarantine. The quarantine
 * expires after a time that grows with each trial that fails. Then one prompt is admitted as a trial, whose crash renews
 * the quarantine and whose survival lifts it; hosts make trials at different times.
 *
 * <p>Invariants: memory and the size of messages are bounded; merging the same evidence twice or in another order has
 * the same result; all hosts with the same evidence have the same segments in quarantine. Not thread-safe: confined to
 * the host's event loop. All times are monotonic nanoseconds.
 */
public final class SegmentQuarantine {

    /** Time for which an answer must go on past its first event to show that its segments are sound. */
    public static final Duration SURVIVAL_TIME = Duration.ofMillis(500);

    /** Bounds the suspects that a host tells of a crash that it has seen. */
    private static final int MAX_OWN_SUSPECTS = 16;

    private static final long MAX_HOLD_NANOS = 900_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;
    private static final long TRIAL_NANOS = 10_000_000_000L;
    private static final double TWO_POW_53 = 0x1p53;

    private final long hostHash;
    private final CrashLog log = new CrashLog();
    private final Survivals survivals = new Survivals();
    private final EvidenceOutbox outbox = new EvidenceOutbox(log, survivals);
    private final Map<String, Long> trialStarts = new HashMap<>();
    private Map<String, Attribution> attributions = Map.of();
    private boolean attributionsStale;

    /** Creates an empty quarantine. {@code hostName} spreads the trials of different hosts over time. */
    public SegmentQuarantine(String hostName) {
        this.hostHash = RendezvousHash.hash(hostName);
    }

    /**
     * Records a crash that this host has seen. A crash without suspects is ignored.
     *
     * @param endpoint tag of the endpoint
     * @param suspects requests whose answer had not begun, or had only just begun, the likeliest cause first; of each one
     *     the ids of its prompt segments except the last, and its fingerprint
     */
    public void recordCrash(int endpoint, List<List<String>> suspects, long now) {
        addCrash(endpoint, suspects, now, now, MAX_OWN_SUSPECTS);
    }

    /** Records that an answer to a prompt with these segments is complete, or went on for {@link #SURVIVAL_TIME}. */
    public void recordSurvival(List<String> segments, long now) {
        segments.forEach(segment -> addSurvival(segment, now));
    }

    /**
     * Returns whether a prompt with these segments must not be sent, and for how long: the remaining time of the
     * quarantine, or empty if it may be sent. An admitted prompt may be a trial of a quarantine that has expired; other
     * prompts with that segment are then held back until its outcome is known. So ask once for each time that the prompt
     * is about to be sent.
     */
    public Optional<Duration> holdTime(List<String> segments, long now) {
        List<Attribution> involved = involved(segments, now);
        long remaining = involved.stream()
                .mapToLong(attribution -> remainingNanos(attribution, now))
                .max()
                .orElse(0);
        if (remaining > 0) {
            return Optional.of(Duration.ofNanos(remaining));
        }
        involved.forEach(attribution -> trialStarts.put(attribution.segment(), now));
        return Optional.empty();
    }

    /** Returns whether {@link #holdTime} would hold back a prompt with these segments. Starts no trial. */
    public boolean isHeld(List<String> segments, long now) {
        return involved(segments, now).stream().anyMatch(attribution -> remainingNanos(attribution, now) > 0);
    }

    /** Returns the attributions of those of {@code segments} that are in quarantine. */
    private List<Attribution> involved(List<String> segments, long now) {
        refresh(now);
        return attributions.isEmpty()
                ? List.of()
                : segments.stream()
                        .map(attributions::get)
                        .filter(Objects::nonNull)
                        .toList();
    }

    /** Merges evidence of another host. Returns whether any of it was new. */
    public boolean merge(CrashEvidence evidence, long now) {
        long changes = evidence.clearances().stream()
                .filter(clearance ->
                        addSurvival(clearance.segment(), now - clearance.age().toNanos()))
                .count();
        changes += evidence.crashes().stream()
                .filter(crash -> addCrash(
                        crash.endpoint(), crash.suspects(), now - crash.age().toNanos(), now, Integer.MAX_VALUE))
                .count();
        return changes > 0;
    }

    /**
     * Returns evidence to send to other hosts in this round: what is new first, then, in turn, what was sent before, so
     * that hosts that start later learn of it. Empty if there is nothing to tell.
     */
    public CrashEvidence nextEvidence(long now) {
        refresh(now);
        return outbox.next(now, attributions.keySet());
    }

    /** Returns the ids of the segments in quarantine, in their natural order. */
    public List<String> quarantined(long now) {
        refresh(now);
        return attributions.keySet().stream().sorted().toList();
    }

    /** Returns whether the crash or any of its suspects was not known and is kept. */
    private boolean addCrash(int endpoint, List<List<String>> suspects, long time, long now, int maxSuspects) {
        if (now - time > CrashLog.RETENTION_NANOS || suspects.stream().allMatch(List::isEmpty)) {
            return false;
        }
        refresh(now);
        LoggedCrash crash = log.findOrAdd(endpoint, time);
        if (crash.moveBackTo(time)) {
            log.sort();
            attributionsStale = true;
        }
        Set<List<String>> added = log.addSuspects(crash, likeliest(endpoint, suspects, maxSuspects));
        if (added.isEmpty()) {
            return false;
        }
        attributionsStale = true;
        added.stream().flatMap(Collection::stream).forEach(survivals::addSuspect);
        log.trim(this::value);
        outbox.addSuspects(crash, added);
        forgetRemoved();
        return log.contains(crash);
    }

    /**
     * Returns the suspects to keep. First come those with a segment that is a suspect of another crash and not known to
     * survive. Half of the rest are those with the most segments that are not known to survive. The others are a sample
     * that differs between endpoints, since a request that comes again may have only segments that survive in others.
     */
    private List<List<String>> likeliest(int endpoint, List<List<String>> suspects, int max) {
        if (suspects.size() <= max) {
            return suspects;
        }
        Set<List<String>> kept = suspects.stream()
                .filter(suspect -> unknown(suspect).anyMatch(log::involves))
                .limit(max)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        int half = (max - kept.size()) / 2;
        suspects.stream()
                .filter(suspect -> !kept.contains(suspect))
                .sorted(Comparator.comparing(suspect -> -unknown(suspect).count()))
                .limit(half)
                .forEach(kept::add);
        return Stream.concat(kept.stream(), suspects.stream().sorted(LoggedCrash.preference(endpoint)))
                .distinct()
                .limit(max)
                .toList();
    }

    /** Returns those segments that are not known to survive. */
    private Stream<String> unknown(List<String> segments) {
        return segments.stream().filter(survivals::isUnknown);
    }

    /** Returns whether the survival is the first one of a suspect, or clears a suspect of another crash. */
    private boolean addSurvival(String segment, long time) {
        boolean suspect = log.involves(segment);
        OptionalLong last = survivals.ofSuspect(segment);
        boolean isNew = suspect && (last.isEmpty() || log.involvesWithin(segment, last.getAsLong(), time));
        survivals.record(segment, time, suspect);
        if (isNew) {
            attributionsStale = true;
            outbox.addClearance(segment);
        }
        return isNew;
    }

    /** Brings the attributions up to date. */
    private void refresh(long now) {
        if (log.expire(now)) {
            forgetRemoved();
            attributionsStale = true;
        }
        if (attributionsStale) {
            attributions = Attribution.of(log, survivals);
            trialStarts.keySet().retainAll(attributions.keySet());
            attributionsStale = false;
        }
    }

    private void forgetRemoved() {
        Set<String> segments = log.segments();
        survivals.retainSuspects(segments);
        outbox.retain(segments);
    }

    /** Returns the value of a crash to the log: that of one that keeps a segment in quarantine is highest. */
    private int value(LoggedCrash crash) {
        Set<String> segments = crash.positions().keySet();
        if (segments.stream().anyMatch(attributions::containsKey)) {
            return 2;
        }
        return segments.stream().allMatch(segment -> survivals.clears(segment, crash)) ? 0 : 1;
    }

    private long remainingNanos(Attribution attribution, long now) {
        long holdEnd = attribution.newestCrash() + holdNanos(attribution);
        Long trial = trialStarts.get(attribution.segment());
        long trialEnd = trial == null ? now : trial + TRIAL_NANOS;
        return Math.max(holdEnd - now, trialEnd - now);
    }

    private long holdNanos(Attribution attribution) {
        int doublings = Math.min(attribution.renewals(), MAX_DOUBLINGS);
        long nanos = Math.min(MAX_HOLD_NANOS, Attribution.MIN_HOLD_NANOS << doublings);
        return nanos + (long) (nanos * hostFraction(attribution.segment()));
    }

    /** Returns a number from 0 to 1 that differs between hosts. */
    private double hostFraction(String segment) {
        return (RendezvousHash.weight(RendezvousHash.hash(segment), hostHash) >>> 11) / TWO_POW_53;
    }
}
