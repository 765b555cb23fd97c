package org.toucanlane.policy.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.toucanlane.policy.quarantine.CrashEvidence.Clearance;
import org.toucanlane.policy.quarantine.CrashEvidence.Crash;

class SegmentQuarantineTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final long START = 100 * SECOND;
    private static final List<String> CRASHING = List.of("first", "crashing");
    private static final Duration MIN_HOLD = Duration.ofSeconds(120);

    private final SegmentQuarantine quarantine = new SegmentQuarantine("host-1");

    @Test
    void holdsASegmentAfterThreeCrashes() {
        crash(2);
        assertThat(quarantine.holdTime(CRASHING, START + 3 * SECOND)).isEmpty();
        crash(3);
        assertThat(quarantine.quarantined(START + 3 * SECOND)).containsExactly("crashing");
        assertThat(quarantine.holdTime(CRASHING, START + 3 * SECOND)).isPresent();
        assertThat(quarantine.holdTime(List.of("first", "other"), START + 3 * SECOND))
                .isEmpty();
    }

    @Test
    void tellsWhetherAPromptIsHeldWithoutATrial() {
        crash(3);
        assertThat(quarantine.isHeld(CRASHING, START + 3 * SECOND)).isTrue();
        assertThat(quarantine.isHeld(List.of("first", "other"), START + 3 * SECOND))
                .isFalse();
        long trial = endOfHold();
        assertThat(quarantine.isHeld(CRASHING, trial)).isFalse();
        assertThat(quarantine.holdTime(CRASHING, trial)).isEmpty();
        assertThat(quarantine.isHeld(CRASHING, trial)).isTrue();
    }

    @Test
    void needsCrashesOfSeveralEndpoints() {
        IntStream.range(0, 6).forEach(i -> quarantine.recordCrash(1, List.of(CRASHING), START + 5 * i * SECOND));
        assertThat(quarantine.quarantined(START + 30 * SECOND)).isEmpty();
    }

    @Test
    void countsCrashesAtOneMomentAsOneEvent() {
        IntStream.range(0, 10).forEach(i -> quarantine.recordCrash(i, List.of(CRASHING), START + i * 30 * MILLI));
        quarantine.recordCrash(10, List.of(CRASHING), START + SECOND);
        assertThat(quarantine.quarantined(START + 2 * SECOND)).isEmpty();
        quarantine.recordCrash(11, List.of(CRASHING), START + 2 * SECOND);
        assertThat(quarantine.quarantined(START + 2 * SECOND)).containsExactly("crashing");
    }

    @Test
    void unitesReportsOfOneCrash() {
        IntStream.range(0, 4).forEach(i -> {
            quarantine.recordCrash(1, List.of(List.of("first", "own-" + i), CRASHING), START + i * 400 * MILLI);
        });
        quarantine.recordCrash(2, List.of(CRASHING), START + 2 * SECOND);
        assertThat(quarantine.quarantined(START + 3 * SECOND)).isEmpty();
    }

    /** The first segment takes part in more crashes than the crashing one, since others break there, too. */
    @Test
    void sparesASharedSegmentThatSurvivedBefore() {
        quarantine.recordSurvival(List.of("first"), START - SECOND);
        quarantine.recordCrash(7, List.of(List.of("first", "other")), START);
        crash(3);
        crash(4);
        assertThat(quarantine.quarantined(START + 5 * SECOND)).containsExactly("crashing");
    }

    @Test
    void holdsTheFirstSegmentIfItIsTheCrashingOne() {
        IntStream.range(0, 3)
                .forEach(i ->
                        quarantine.recordCrash(i, List.of(List.of("crashing", "session-" + i)), START + i * SECOND));
        assertThat(quarantine.quarantined(START + 3 * SECOND)).containsExactly("crashing");
    }

    @Test
    void holdsTwoCrashingSegments() {
        crash(3);
        quarantine.recordSurvival(List.of("first"), START + 5 * SECOND);
        IntStream.range(0, 3)
                .forEach(i -> quarantine.recordCrash(
                        i, List.of(List.of("first", "second-crashing")), START + (10 + i) * SECOND));
        assertThat(quarantine.quarantined(START + 20 * SECOND)).containsExactly("crashing", "second-crashing");
    }

    @Test
    void needsMoreEvidenceAgainstASegmentThatSurvivedBefore() {
        quarantine.recordSurvival(List.of("crashing"), START - SECOND);
        quarantine.recordSurvival(List.of("first"), START - SECOND);
        crash(7);
        assertThat(quarantine.quarantined(START + 7 * SECOND)).isEmpty();
        crash(8);
        assertThat(quarantine.quarantined(START + 8 * SECOND)).containsExactly("crashing");
    }

    @Test
    void doesNotCountCrashesBeforeASurvival() {
        crash(2);
        quarantine.recordSurvival(CRASHING, START + 2 * SECOND);
        quarantine.recordCrash(3, List.of(CRASHING), START + 3 * SECOND);
        quarantine.recordCrash(4, List.of(CRASHING), START + 4 * SECOND);
        assertThat(quarantine.quarantined(START + 5 * SECOND)).isEmpty();
    }

    @Test
    void doublesTheHoldTimeWithEachFailedTrial() {
        crash(3);
        long now = START + 2 * SECOND;
        Duration previous = Duration.ZERO;
        for (int failedTrials = 0; failedTrials <= 4; failedTrials++) {
            Duration hold = quarantine.holdTime(CRASHING, now).orElseThrow();
            Duration least = min(MIN_HOLD.multipliedBy(1L << failedTrials), Duration.ofMinutes(15));
            assertThat(hold).isBetween(least, least.multipliedBy(2)).isGreaterThanOrEqualTo(previous);
            previous = hold;
            now += hold.toNanos();
            quarantine.recordCrash(10 + failedTrials, List.of(CRASHING), now);
        }
    }

    /** Of many waiting requests, any hid the one that was being answered. */
    @Test
    void tellsOfTheLikeliestSuspectsOfACrash() {
        List<List<String>> suspects = new ArrayList<>(List.of(CRASHING));
        IntStream.range(0, 60).forEach(i -> suspects.add(List.of("first", "waiting-" + i)));
        IntStream.range(0, 20).forEach(endpoint -> {
            SegmentQuarantine host = new SegmentQuarantine("host-" + endpoint);
            host.recordCrash(endpoint, suspects, START);
            assertThat(host.nextEvidence(START).crashes().get(0).suspects()).contains(CRASHING);
        });
    }

    /** The crashes of one outage kept a sound segment in quarantine for 21 minutes. */
    @Test
    void doesNotProlongTheHoldTimeWithTheCrashesOfOneOutage() {
        crash(8);
        assertThat(quarantine.holdTime(CRASHING, START + 7 * SECOND).orElseThrow())
                .isBetween(MIN_HOLD, MIN_HOLD.multipliedBy(2));
    }

    @Test
    void returnsTheRemainingTime() {
        crash(3);
        Duration hold = quarantine.holdTime(CRASHING, START + 10 * SECOND).orElseThrow();
        assertThat(quarantine.holdTime(CRASHING, START + 17 * SECOND)).hasValue(hold.minusSeconds(7));
        long end = START + 10 * SECOND + hold.toNanos();
        assertThat(quarantine.holdTime(CRASHING, end - 1)).hasValue(Duration.ofNanos(1));
        assertThat(quarantine.holdTime(CRASHING, end)).isEmpty();
    }

    @Test
    void spreadsTheTrialsOfHosts() {
        Set<Duration> holds = new HashSet<>();
        for (int host = 0; host < 8; host++) {
            SegmentQuarantine other = new SegmentQuarantine("host-" + host);
            IntStream.range(0, 3).forEach(i -> other.recordCrash(i, List.of(CRASHING), START + i * SECOND));
            holds.add(other.holdTime(CRASHING, START + 2 * SECOND).orElseThrow());
        }
        assertThat(holds).hasSize(8).allSatisfy(hold -> assertThat(hold).isBetween(MIN_HOLD, MIN_HOLD.multipliedBy(2)));
    }

    @Test
    void admitsOneTrialAndHoldsOthersUntilItsOutcome() {
        crash(3);
        long trial = endOfHold();
        assertThat(quarantine.holdTime(CRASHING, trial)).isEmpty();
        assertThat(quarantine.holdTime(CRASHING, trial)).hasValue(Duration.ofSeconds(10));
        assertThat(quarantine.holdTime(CRASHING, trial + 4 * SECOND)).hasValue(Duration.ofSeconds(6));
        assertThat(quarantine.holdTime(CRASHING, trial + 10 * SECOND)).isEmpty();
        assertThat(quarantine.holdTime(CRASHING, trial + 11 * SECOND)).hasValue(Duration.ofSeconds(9));
    }

    @Test
    void renewsTheQuarantineWhenATrialCrashes() {
        crash(3);
        long trial = endOfHold();
        quarantine.holdTime(CRASHING, trial);
        quarantine.recordCrash(9, List.of(CRASHING), trial + 90 * MILLI);
        assertThat(quarantine.holdTime(CRASHING, trial + 90 * MILLI).orElseThrow())
                .isBetween(MIN_HOLD.multipliedBy(2), MIN_HOLD.multipliedBy(4));
    }

    @Test
    void liftsTheQuarantineOfAllHostsWhenATrialSurvives() {
        crash(3);
        SegmentQuarantine other = new SegmentQuarantine("host-2");
        exchange(quarantine, other, START + 4 * SECOND, 1);
        assertThat(other.quarantined(START + 4 * SECOND)).containsExactly("crashing");
        long trial = endOfHold();
        quarantine.holdTime(CRASHING, trial);
        quarantine.recordSurvival(CRASHING, trial + SECOND);
        assertThat(quarantine.holdTime(CRASHING, trial + SECOND)).isEmpty();
        exchange(quarantine, other, trial + SECOND, 1);
        assertThat(other.quarantined(trial + SECOND)).isEmpty();
        assertThat(other.holdTime(CRASHING, trial + SECOND)).isEmpty();
    }

    @Test
    void tellsAClearanceWhenOthersSuspectASegmentThatSurvived() {
        quarantine.recordSurvival(List.of("first"), START);
        assertThat(quarantine.nextEvidence(START).isEmpty()).isTrue();
        CrashEvidence evidence =
                new CrashEvidence(List.of(new Crash(1, Duration.ofSeconds(2), List.of(CRASHING))), List.of());
        assertThat(quarantine.merge(evidence, START + SECOND)).isTrue();
        assertThat(quarantine.nextEvidence(START + SECOND).clearances())
                .containsExactly(new Clearance("first", Duration.ofSeconds(1)));
    }

    @Test
    void repeatsNewEvidenceAndThenTellsNothingOfClearedSuspects() {
        quarantine.recordCrash(1, List.of(CRASHING), START);
        quarantine.recordSurvival(CRASHING, START + SECOND);
        for (int round = 0; round < 6; round++) {
            CrashEvidence evidence = quarantine.nextEvidence(START + 2 * SECOND);
            assertThat(evidence.crashes()).containsExactly(new Crash(1, Duration.ofSeconds(2), List.of(CRASHING)));
            assertThat(evidence.clearances()).hasSize(2);
        }
        assertThat(quarantine.nextEvidence(START + 2 * SECOND).isEmpty()).isTrue();
    }

    @Test
    void tellsNothingIfItKnowsNothing() {
        assertThat(quarantine.nextEvidence(START).isEmpty()).isTrue();
        quarantine.recordCrash(1, List.of(), START);
        quarantine.recordCrash(1, List.of(List.of()), START);
        assertThat(quarantine.nextEvidence(START).isEmpty()).isTrue();
    }

    @Test
    void forgetsCrashesAfterAnHour() {
        crash(12);
        long hour = 3_600 * SECOND;
        assertThat(quarantine.quarantined(START + hour)).containsExactly("crashing");
        assertThat(quarantine.quarantined(START + hour + 11 * SECOND)).isEmpty();
        assertThat(quarantine.nextEvidence(START + hour + 12 * SECOND).isEmpty())
                .isTrue();
        CrashEvidence old =
                new CrashEvidence(List.of(new Crash(1, Duration.ofSeconds(3_601), List.of(CRASHING))), List.of());
        assertThat(quarantine.merge(old, START + 2 * hour)).isFalse();
    }

    @Test
    void changesNothingWhenEvidenceComesBack() {
        crash(4);
        quarantine.recordSurvival(List.of("first"), START + 5 * SECOND);
        SegmentQuarantine other = new SegmentQuarantine("host-2");
        for (int round = 0; round < 30; round++) {
            long now = START + 6 * SECOND + round * 100 * MILLI;
            CrashEvidence evidence = quarantine.nextEvidence(now);
            assertThat(other.merge(evidence, now + 40 * MILLI)).isEqualTo(round == 0);
            assertThat(other.merge(evidence, now + 900 * MILLI)).isFalse();
            assertThat(quarantine.merge(other.nextEvidence(now + 40 * MILLI), now + 80 * MILLI))
                    .isFalse();
        }
    }

    /** Two hosts that exchange an old survival for long would otherwise add the delay of the network in each round. */
    @Test
    void doesNotMoveASurvivalOnByExchangingIt() {
        SegmentQuarantine other = new SegmentQuarantine("host-2");
        quarantine.recordSurvival(List.of("crashing"), START);
        quarantine.recordCrash(0, List.of(CRASHING), START - SECOND);
        quarantine.recordCrash(1, List.of(CRASHING), START + SECOND);
        for (int round = 0; round < 1_000; round++) {
            long now = START + 2 * SECOND + round * 100 * MILLI;
            other.merge(quarantine.nextEvidence(now), now + 50 * MILLI);
            quarantine.merge(other.nextEvidence(now + 50 * MILLI), now + 100 * MILLI);
        }
        long later = START + 200 * SECOND;
        IntStream.range(2, 9).forEach(i -> {
            quarantine.recordCrash(i, List.of(CRASHING), later + i * SECOND);
            other.recordCrash(i, List.of(CRASHING), later + i * SECOND);
        });
        quarantine.recordSurvival(List.of("first"), later + 10 * SECOND);
        other.recordSurvival(List.of("first"), later + 10 * SECOND);
        assertThat(quarantine.quarantined(later + 10 * SECOND)).containsExactly("crashing");
        assertThat(other.quarantined(later + 10 * SECOND)).containsExactly("crashing");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void mergesInAnyOrder(long seed) {
        Random random = new Random(seed);
        List<CrashEvidence> evidence = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Duration age = Duration.ofSeconds(2L * random.nextInt(40)).plusMillis(i % 7);
            Crash crash = new Crash(
                    random.nextInt(6),
                    age,
                    Stream.generate(() ->
                                    List.of("a" + random.nextInt(3), "b" + random.nextInt(3), "c" + random.nextInt(9)))
                            .limit(1 + random.nextInt(4))
                            .toList());
            Clearance clearance =
                    new Clearance("abc".charAt(i % 3) + "" + random.nextInt(3), age.plusMillis(random.nextInt(2_000)));
            evidence.add(new CrashEvidence(List.of(crash), random.nextInt(4) == 0 ? List.of(clearance) : List.of()));
        }
        assertThat(mergeAll(evidence).quarantined(START)).isNotEmpty();
        List<CrashEvidence> shuffled = new ArrayList<>(evidence);
        shuffled.addAll(evidence);
        for (int i = 0; i < 20; i++) {
            Collections.shuffle(shuffled, random);
            SegmentQuarantine merged = mergeAll(shuffled);
            assertThat(merged.quarantined(START)).isEqualTo(mergeAll(evidence).quarantined(START));
            merged.quarantined(START)
                    .forEach(segment -> assertThat(merged.holdTime(List.of(segment), START))
                            .isEqualTo(mergeAll(evidence).holdTime(List.of(segment), START)));
            assertThat(evidence).noneMatch(known -> merged.merge(known, START));
        }
    }

    /** Crashes with many requests under way, by which the log and messages are bounded, must not hide the segment. */
    @Test
    void findsTheSegmentAmongManyLongSuspects() {
        SegmentQuarantine other = new SegmentQuarantine("host-2");
        for (int i = 0; i < 30; i++) {
            long now = START + i * SECOND;
            int crash = i;
            List<List<String>> suspects = new ArrayList<>(IntStream.range(0, 11)
                    .mapToObj(j -> IntStream.range(0, 12)
                            .mapToObj(k -> "sound-" + crash + "-" + j + "-" + k)
                            .toList())
                    .toList());
            suspects.add(Stream.concat(
                            IntStream.range(0, 9).mapToObj(k -> "shared-" + crash + "-" + k), Stream.of("crashing"))
                    .toList());
            quarantine.recordCrash(i, suspects, now);
            for (int round = 0; round < 10; round++) {
                CrashEvidence evidence = quarantine.nextEvidence(now + round * 100 * MILLI);
                assertThat(FleetSimulation.length(evidence)).isLessThanOrEqualTo(1_200);
                assertThat(evidence.crashes())
                        .allSatisfy(told -> assertThat(told.suspects())
                                .hasSizeLessThanOrEqualTo(16)
                                .allSatisfy(suspect -> assertThat(suspect).hasSizeLessThanOrEqualTo(8)));
                other.merge(evidence, now + round * 100 * MILLI);
            }
        }
        assertThat(quarantine.quarantined(START + 30 * SECOND)).containsExactly("crashing");
        assertThat(other.quarantined(START + 30 * SECOND)).containsExactly("crashing");
    }

    @Test
    void tellsOfSuspectsThatNeverSurvivedFirst() {
        List<List<String>> suspects = new ArrayList<>(IntStream.range(0, 60)
                .mapToObj(i -> List.of("first", "sound-" + i))
                .toList());
        suspects.forEach(suspect -> quarantine.recordSurvival(suspect, START - SECOND));
        suspects.add(CRASHING);
        quarantine.recordCrash(1, suspects, START);
        Set<List<String>> told = new HashSet<>();
        IntStream.range(0, 20)
                .forEach(round ->
                        quarantine.nextEvidence(START).crashes().forEach(crash -> told.addAll(crash.suspects())));
        assertThat(told).hasSize(16).contains(CRASHING);
    }

    /** Evidence on a crash with many suspects must reach others before the next crash. */
    @Test
    void sendsEachNewEntryOnceBeforeAnyIsRepeated() {
        List<List<String>> suspects = IntStream.range(10, 42)
                .mapToObj(i -> List.of("segment-of-sixteen-" + i, "session-of-sixteen-" + i))
                .toList();
        quarantine.merge(new CrashEvidence(List.of(new Crash(1, Duration.ZERO, suspects)), List.of()), START);
        List<List<String>> told = IntStream.range(0, 2)
                .mapToObj(round -> quarantine.nextEvidence(START))
                .flatMap(evidence -> evidence.crashes().stream())
                .flatMap(crash -> crash.suspects().stream())
                .toList();
        assertThat(told.subList(0, suspects.size())).containsExactlyInAnyOrderElementsOf(suspects);
    }

    /** Hundreds of lost answers must not push the crashes of a segment in quarantine out of the log. */
    @Test
    void keepsTheQuarantineWhenTheLogIsFull() {
        crash(4);
        for (int i = 0; i < 500; i++) {
            quarantine.recordCrash(i % 9, List.of(List.of("first", "session-" + i)), START + (5 + 2 * i) * SECOND);
            quarantine.recordSurvival(List.of("first"), START + (6 + 2 * i) * SECOND);
        }
        long now = START + 1_005 * SECOND;
        assertThat(quarantine.quarantined(now)).containsExactly("crashing");
        Set<Crash> told = new HashSet<>();
        IntStream.range(0, 1_000)
                .forEach(round -> told.addAll(quarantine.nextEvidence(now).crashes()));
        assertThat(told.stream().mapToInt(crash -> crash.suspects().size()).sum())
                .isLessThanOrEqualTo(64);
    }

    /** Retained evidence would otherwise take a datagram to each receiver in each round of an hour. */
    @Test
    void sendsRetainedEvidenceInFewRounds() {
        crash(4);
        quarantine.recordCrash(9, List.of(List.of("first", "session")), START + 5 * SECOND);
        quarantine.recordSurvival(List.of("first"), START + 6 * SECOND);
        long now = START + 10 * SECOND;
        IntStream.range(0, 40).forEach(round -> quarantine.nextEvidence(now));
        List<CrashEvidence> sent = IntStream.range(0, 1_000)
                .mapToObj(round -> quarantine.nextEvidence(now))
                .filter(evidence -> !evidence.isEmpty())
                .toList();
        assertThat(sent).hasSizeBetween(100, 150);
        assertThat(sent.stream()
                        .flatMap(evidence -> evidence.crashes().stream())
                        .map(Crash::endpoint))
                .as("crashes of the segment in quarantine and the other one")
                .contains(0, 1, 2, 3, 9);
    }

    /** The evidence is longer than one message. */
    @Test
    void tellsAHostThatStartsLaterOfLongSegmentsWithinTwoSeconds() {
        String padding = "-".repeat(60);
        List<String> segments = List.of("first" + padding, "crashing" + padding);
        IntStream.range(0, 60).forEach(i -> quarantine.recordCrash(i % 9, List.of(segments), START + 2 * i * SECOND));
        long now = START + 150 * SECOND;
        IntStream.range(0, 307).forEach(round -> quarantine.nextEvidence(now));
        SegmentQuarantine late = new SegmentQuarantine("host-1");
        exchange(quarantine, late, now, 20);
        assertThat(late.holdTime(segments, now)).isEqualTo(quarantine.holdTime(segments, now));
        Set<Crash> told = new HashSet<>();
        IntStream.range(0, 20)
                .forEach(round -> told.addAll(quarantine.nextEvidence(now).crashes()));
        assertThat(told).hasSize(60);
    }

    @Test
    void tellsAHostThatStartsLaterWithinTwoSeconds() {
        IntStream.range(0, 60)
                .forEach(i -> quarantine.recordCrash(
                        i % 9, List.of(List.of("first", "session-" + i), CRASHING), START + 2 * i * SECOND));
        quarantine.recordSurvival(List.of("first"), START + 119 * SECOND);
        long now = START + 150 * SECOND;
        IntStream.range(0, 300).forEach(round -> quarantine.nextEvidence(now));
        SegmentQuarantine late = new SegmentQuarantine("host-1");
        exchange(quarantine, late, now, 20);
        assertThat(late.quarantined(now)).containsExactly("crashing");
        assertThat(late.holdTime(CRASHING, now)).isEqualTo(quarantine.holdTime(CRASHING, now));
    }

    @Test
    void rejectsANegativeAge() {
        assertThatThrownBy(() -> new Crash(1, Duration.ofSeconds(-1), List.of()))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("PT-1S");
        assertThatThrownBy(() -> new Clearance("first", Duration.ofSeconds(-1)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("PT-1S");
    }

    /** Records crashes up to the given number, one in each second. */
    private void crash(int count) {
        IntStream.range(0, count).forEach(i -> quarantine.recordCrash(i, List.of(CRASHING), START + i * SECOND));
    }

    private long endOfHold() {
        return START
                + 3 * SECOND
                + quarantine
                        .holdTime(CRASHING, START + 3 * SECOND)
                        .orElseThrow()
                        .toNanos();
    }

    private static void exchange(SegmentQuarantine from, SegmentQuarantine to, long now, int rounds) {
        IntStream.range(0, rounds).forEach(round -> to.merge(from.nextEvidence(now), now));
    }

    private static SegmentQuarantine mergeAll(List<CrashEvidence> evidence) {
        SegmentQuarantine merged = new SegmentQuarantine("host-1");
        evidence.forEach(one -> merged.merge(one, START));
        return merged;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
