package org.toucanlane.edge.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.serving.LimitUnit;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.queue.PlaceEstimate;

class WaitingCallsTest {

    private static final RouteBounds MIXED = new RouteBounds(0, 2, Duration.ofSeconds(1), Duration.ofSeconds(3));
    private static final PlaceEstimate FULL =
            new PlaceEstimate(Duration.ofMillis(10), Duration.ofMillis(100), Duration.ofSeconds(1));

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final CallMetrics metrics = new CallMetrics();
    private final WaitingCalls calls =
            new WaitingCalls(channel.eventLoop(), account -> 0, new DecisionLog("test"), metrics);
    private final List<String> sent = new ArrayList<>();
    private int room;

    /** Stops the periodic task, so that only the events of a test cause tries. */
    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @Test
    void sendsTheMostUrgentWhenARequestEnds() {
        Caller patient = waiting("patient", 2);
        Caller urgent = waiting("urgent", 0);
        room = 1;
        calls.onEnded(new Caller("running"), "s", true);
        channel.runPendingTasks();
        assertThat(sent).containsExactly("urgent");
        assertThat(calls.size()).isEqualTo(1);
        calls.onEnded(urgent, "s", true);
        room = 1;
        channel.runPendingTasks();
        assertThat(sent).containsExactly("urgent", "patient");
        assertThat(patient.refusal).isEmpty();
        assertThat(metrics.scrape())
                .contains("toucanlane_waiting{service=\"s\"} 0.0")
                .contains("toucanlane_waited_seconds_count{reason=\"sent\",service=\"s\"} 2");
    }

    @Test
    void aRepeatIsSentAfterThoseThatWait() {
        waiting("first", 2);
        room = 1;
        calls.sendThoseBefore(call(2, MIXED, Optional.empty()), System.nanoTime());
        assertThat(sent).containsExactly("first");
        waiting("second", 2);
        room = 1;
        calls.sendThoseBefore(call(0, MIXED, Optional.empty()), System.nanoTime());
        assertThat(sent).as("sent before an urgent arrival").containsExactly("first");
    }

    @Test
    void aCallerThatLeavesFreesItsPlace() {
        Caller gone = waiting("gone", 0);
        waiting("next", 2);
        calls.onEnded(gone, "s", false);
        assertThat(calls.size()).isEqualTo(1);
        room = 2;
        calls.onEnded(new Caller("running"), "s", true);
        channel.runPendingTasks();
        assertThat(sent).containsExactly("next");
    }

    @Test
    void refusesAllThatWaitWhenTheHostStops() {
        List<Caller> callers = List.of(waiting("a", 0), waiting("b", 2));
        calls.close();
        assertThat(callers)
                .allSatisfy(caller -> assertThat(caller.refusal.map(CallRefusedException::kind))
                        .contains(ErrorKind.LEAVING));
        assertThat(calls.offer(new Caller("late"), call(0, MIXED, Optional.empty()), System.nanoTime(), FULL))
                .isFalse();
    }

    @Test
    void triesAFewRequestsInAPassWhileThereIsNoRoom() {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            callers.add(waiting("c" + i, 2));
        }
        calls.onEnded(new Caller("running"), "s", true);
        channel.runPendingTasks();
        assertThat(callers.stream().mapToInt(caller -> caller.tries).sum()).isEqualTo(4);
        assertThat(calls.size()).isEqualTo(50);
        room = 50;
        channel.advanceTimeBy(20, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(sent).as("sent by the periodic task").hasSize(32);
    }

    @Test
    void noOtherRequestWaits() {
        RouteBounds alike = new RouteBounds(0, 2, Duration.ofMillis(600), Duration.ofSeconds(1));
        RouteBounds samePriority = new RouteBounds(0, 0, Duration.ofMillis(400), Duration.ofSeconds(1));
        List.of(
                        call(2, alike, Optional.empty()),
                        call(0, samePriority, Optional.empty()),
                        call(2, MIXED, Optional.of("another-host")))
                .forEach(call -> assertThat(calls.offer(new Caller("c"), call, System.nanoTime(), FULL))
                        .isFalse());
    }

    private Caller waiting(String name, int priority) {
        Caller caller = new Caller(name);
        assertThat(calls.offer(caller, call(priority, MIXED, Optional.empty()), System.nanoTime(), FULL))
                .as("%s waits", name)
                .isTrue();
        return caller;
    }

    private static AdmittedCall call(int priority, RouteBounds bounds, Optional<String> forwardedBy) {
        CallHead head = new CallHead(
                "id", "h", "/", OptionalLong.empty(), Optional.empty(), Optional.empty(), Optional.empty());
        ServingAccount account = new ServingAccount("a", OptionalInt.of(priority), 0, 0, LimitUnit.TOKENS, 0, Set.of());
        return new AdmittedCall(
                head,
                TestFixtures.route("r", "/", Set.of()),
                "s",
                Optional.of(account),
                Set.of(),
                System.nanoTime() + TimeUnit.SECONDS.toNanos(60),
                1,
                0,
                forwardedBy,
                1,
                bounds);
    }

    /** A caller whose request is sent while there is room. */
    private final class Caller implements WaitingCalls.Waiter {
        private final String name;
        private Optional<CallRefusedException> refusal = Optional.empty();
        private int tries;

        private Caller(String name) {
            this.name = name;
        }

        @Override
        public Optional<PlaceEstimate> sendIfRoom() {
            tries++;
            if (room == 0) {
                return Optional.of(FULL);
            }
            room--;
            sent.add(name);
            return Optional.empty();
        }

        @Override
        public void onRefused(CallRefusedException because) {
            refusal = Optional.of(because);
        }
    }
}
