package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

class CrashDetectorTest {

    private static final long START = 1_000_000_000_000L;
    private static final long SURVIVAL_NANOS = SegmentQuarantine.SURVIVAL_TIME.toNanos();
    private static final long STEP_NANOS = SURVIVAL_NANOS / 10;
    private static final int GATHERING_MILLIS = 100;
    private static final int CONFIRMATION_MILLIS = 50;
    private static final List<String> FIRST = List.of("a", "b");
    private static final List<String> SECOND = List.of("a", "c");

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Crash> crashes = new ArrayList<>();
    private final List<List<String>> survivals = new ArrayList<>();
    private final List<Long> checkedTimes = new ArrayList<>();
    private boolean connectionLeft;
    private boolean connectionOpens;
    private boolean connectionStaysOpen;
    private final CrashDetector detector = new CrashDetector(
            channel.eventLoop(),
            new DecisionLog("test"),
            new Connections(),
            (endpoint, suspects, time) -> crashes.add(new Crash(endpoint, suspects, time)),
            (segments, time) -> survivals.add(segments));
    private EndpointHandle endpoint;
    private EndpointHandle other;

    private record Crash(int endpoint, List<List<String>> suspects, long time) {}

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
        endpoint = endpoint("e1");
        other = endpoint("e2");
    }

    @AfterEach
    void close() {
        channel.close();
    }

    private EndpointHandle endpoint(String id) {
        Fleet fleet = new Fleet(channel.eventLoop(), new DecisionLog("test"), "self", Map.of("z", "r"));
        fleet.endpointChanged(id, Optional.of(TestFixtures.endpoint(id, "z")));
        return fleet.endpoint(id).orElseThrow();
    }

    private void gather() {
        advance(GATHERING_MILLIS);
    }

    private void advance(int millis) {
        for (int i = 0; i < millis; i++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    void gathersTheSuspectsOfACrash() {
        CrashDetector.Watch unanswered = detector.watch(endpoint, FIRST);
        CrashDetector.Watch justBegun = detector.watch(endpoint, SECOND);
        CrashDetector.Watch sameSegments = detector.watch(endpoint, FIRST);
        answerFor(justBegun, SURVIVAL_NANOS - 1, START - SURVIVAL_NANOS);
        unanswered.recordConnectionLost(false, START);
        justBegun.recordConnectionLost(false, START);
        sameSegments.recordConnectionLost(false, START + 1);
        assertThat(crashes).isEmpty();
        gather();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(FIRST, SECOND), START));
        assertThat(checkedTimes).containsExactly(START);
        assertThat(survivals).isEmpty();
    }

    /** A crash with many waiting requests hid the request that caused it. */
    @Test
    void namesSuspectsWhoseAnswerHadBegunFirst() {
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        detector.watch(endpoint, SECOND).recordConnectionLost(true, START);
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        gather();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(SECOND, FIRST), START));
    }

    @Test
    void ignoresAFailureOfOneConnectionAmongOthers() {
        connectionLeft = true;
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        gather();
        assertThat(checkedTimes).containsExactly(START);
        assertThat(crashes).isEmpty();
    }

    /** Most endpoints of a large fleet have one connection, whose failure was taken for a crash. */
    @Test
    void ignoresAFailureOfTheOnlyConnectionIfAnotherOpens() {
        connectionOpens = true;
        connectionStaysOpen = true;
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        gather();
        advance(CONFIRMATION_MILLIS);
        assertThat(checkedTimes).containsExactly(START);
        assertThat(crashes).isEmpty();
    }

    @Test
    void reportsACrashIfTheNewConnectionDoesNotStayOpen() {
        connectionOpens = true;
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        gather();
        assertThat(crashes).isEmpty();
        advance(CONFIRMATION_MILLIS);
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(FIRST), START));
    }

    @Test
    void ignoresFailuresAtAnEndpointThatWasDrainingBeforeThem() {
        other.drain();
        detector.watch(other, FIRST).recordConnectionLost(false, START);
        detector.watch(endpoint, SECOND).recordConnectionLost(false, START);
        endpoint.drain();
        gather();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(SECOND), START));
    }

    /** A crash at the end of an event of a stream that has neither a length nor chunks went unseen. */
    @Test
    void suspectsAnAnswerThatEndedWithItsConnectionIfNoOtherOpens() {
        detector.watch(endpoint, FIRST).recordEndWithConnection(START);
        gather();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(FIRST), START));
    }

    @Test
    void takesNoAnswerThatEndedWithItsConnectionForACrashByItself() {
        detector.watch(other, FIRST).recordEndWithConnection(START);
        other.drain();
        CrashDetector.Watch begunBefore = detector.watch(endpoint, FIRST);
        answerFor(begunBefore, SURVIVAL_NANOS, START - SURVIVAL_NANOS);
        begunBefore.recordEndWithConnection(START);
        gather();
        assertThat(checkedTimes).containsExactly(START);
        assertThat(crashes).isEmpty();
        connectionOpens = true;
        connectionStaysOpen = true;
        detector.watch(endpoint, FIRST).recordEndWithConnection(START + 1);
        gather();
        advance(CONFIRMATION_MILLIS);
        assertThat(checkedTimes).containsExactly(START, START + 1);
        assertThat(crashes).isEmpty();
    }

    @Test
    void doesNotSuspectAnswersThatWentOn() {
        CrashDetector.Watch begunBefore = detector.watch(endpoint, FIRST);
        answerFor(begunBefore, SURVIVAL_NANOS, START - SURVIVAL_NANOS);
        begunBefore.recordConnectionLost(false, START);
        detector.watch(endpoint, SECOND).recordConnectionLost(false, START);
        gather();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(SECOND), START));
    }

    @Test
    void doesNotReportACrashWithoutSuspects() {
        CrashDetector.Watch begunBefore = detector.watch(endpoint, FIRST);
        answerFor(begunBefore, SURVIVAL_NANOS, START - SURVIVAL_NANOS);
        begunBefore.recordConnectionLost(false, START);
        detector.watch(endpoint, List.of()).recordConnectionLost(false, START);
        gather();
        assertThat(checkedTimes).containsExactly(START);
        assertThat(crashes).isEmpty();
    }

    @Test
    void keepsCrashesOfDifferentEndpointsAndTimesApart() {
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        detector.watch(other, SECOND).recordConnectionLost(false, START + 1);
        gather();
        detector.watch(endpoint, SECOND).recordConnectionLost(false, START + 2);
        gather();
        assertThat(crashes)
                .containsExactlyInAnyOrder(
                        new Crash(endpoint.tag(), List.of(FIRST), START),
                        new Crash(other.tag(), List.of(SECOND), START + 1),
                        new Crash(endpoint.tag(), List.of(SECOND), START + 2));
    }

    /** After a stall of the loop, connections that were closed meanwhile must be read before the crash is judged. */
    @Test
    void runsTheLoopOnceMoreBeforeItJudgesAfterAStall() {
        detector.watch(endpoint, FIRST).recordConnectionLost(false, START);
        channel.advanceTimeBy(10L * GATHERING_MILLIS, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(checkedTimes).isEmpty();
        gather();
        assertThat(crashes).hasSize(1);
    }

    @Test
    void reportsAnAnswerThatGoesOnOnce() {
        CrashDetector.Watch watch = detector.watch(endpoint, FIRST);
        answerFor(watch, SURVIVAL_NANOS - 1, START);
        assertThat(survivals).isEmpty();
        watch.recordAnswer(START + SURVIVAL_NANOS);
        watch.recordAnswer(START + 2 * SURVIVAL_NANOS);
        watch.recordCompleteAnswer(START + 3 * SURVIVAL_NANOS);
        assertThat(survivals).containsExactly(FIRST);
    }

    @Test
    void reportsAShortAnswerOnlyWhenItIsComplete() {
        CrashDetector.Watch watch = detector.watch(endpoint, FIRST);
        watch.recordAnswer(START);
        assertThat(survivals).isEmpty();
        watch.recordCompleteAnswer(START + 1);
        detector.watch(endpoint, List.of()).recordCompleteAnswer(START + 1);
        assertThat(survivals).containsExactly(FIRST);
    }

    /** What arrived during a stall of this host is read after it, followed by the end of the connection. */
    @Test
    void doesNotTakeAStallOfTheHostForAnAnswerThatWentOn() {
        CrashDetector.Watch watch = detector.watch(endpoint, FIRST);
        watch.recordAnswer(START);
        watch.recordAnswer(START + 2 * SURVIVAL_NANOS);
        watch.recordAnswer(START + 2 * SURVIVAL_NANOS + 1);
        watch.recordConnectionLost(false, START + 2 * SURVIVAL_NANOS + 2);
        gather();
        assertThat(survivals).isEmpty();
        assertThat(crashes).containsExactly(new Crash(endpoint.tag(), List.of(FIRST), START + 2 * SURVIVAL_NANOS + 2));
    }

    /** Records parts of an answer from {@code start} until {@code nanos} later. */
    private static void answerFor(CrashDetector.Watch watch, long nanos, long start) {
        for (long passed = 0; passed < nanos; passed += STEP_NANOS) {
            watch.recordAnswer(start + passed);
        }
        watch.recordAnswer(start + nanos);
    }

    private final class Connections implements CrashDetector.ConnectionCheck {

        @Override
        public boolean hasConnectionOpenedBefore(EndpointHandle checked, long time) {
            checkedTimes.add(time);
            return connectionLeft;
        }

        @Override
        public boolean hasOpenConnection(EndpointHandle checked) {
            return connectionStaysOpen;
        }

        @Override
        public void openIfNone(EndpointHandle checked, Consumer<Boolean> result) {
            result.accept(connectionOpens);
        }
    }
}
