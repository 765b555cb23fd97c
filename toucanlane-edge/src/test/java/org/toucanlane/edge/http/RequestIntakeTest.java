package org.toucanlane.edge.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.overload.ArrivalQueue;
import org.toucanlane.policy.overload.LoopClock;

class RequestIntakeTest {

    private static final Duration OBJECTIVE = Duration.ofSeconds(60);
    private static final Duration STALL = Duration.ofSeconds(20);

    private final EventLoop loop = new DefaultEventLoop();
    private final long now = System.nanoTime();
    private final LoopClock clock = new LoopClock(now - STALL.toNanos());
    private final RequestIntake intake = RequestIntake.of(clock);
    private final List<String> outcomes = new ArrayList<>();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void calmLoopHandlesRequestsInOrderOfArrival() throws Exception {
        intake.setShortestObjective(OBJECTIVE);
        clock.beginPass(now - 1, true, now);
        clock.probed(now - 1, false);
        clock.foundInput(now);
        assertThat(run()).containsExactly("cheap", "urgent", "given up", "unsorted");
    }

    @Test
    void lateLoopHandlesTheMostUrgentFirstAndRefusesWhatIsGivenUp() throws Exception {
        intake.setShortestObjective(OBJECTIVE);
        clock.beginPass(now, false, now);
        clock.foundInput(now);
        assertThat(run()).containsExactlyInAnyOrder("urgent", "cheap", "unsorted", "refused given up");
        assertThat(outcomes.indexOf("urgent")).isLessThan(outcomes.indexOf("cheap"));
        assertThat(intake.waiting()).isZero();
    }

    private List<String> run() throws Exception {
        CountDownLatch ended = new CountDownLatch(4);
        loop.submit(() -> {
                    accept("cheap", 2, Duration.ofSeconds(50), ended);
                    accept("urgent", 0, Duration.ofSeconds(50), ended);
                    accept("given up", 0, Duration.ofSeconds(10), ended);
                    accept("unsorted", -1, Duration.ZERO, ended);
                    assertThat(outcomes).isEmpty();
                })
                .get();
        assertThat(ended.await(10, TimeUnit.SECONDS)).isTrue();
        return loop.submit(() -> List.copyOf(outcomes)).get();
    }

    private void accept(String name, int rank, Duration givenUpAfter, CountDownLatch ended) {
        Optional<ArrivalQueue.Terms> terms = Optional.of(new ArrivalQueue.Terms(rank, OBJECTIVE, givenUpAfter))
                .filter(known -> rank >= 0);
        intake.accept(loop, new RequestIntake.Arrival() {
            @Override
            public long since() {
                return clock.readableSince();
            }

            @Override
            public Optional<ArrivalQueue.Terms> terms() {
                return terms;
            }

            @Override
            public void handle() {
                outcomes.add(name);
                ended.countDown();
            }

            @Override
            public void refuseAsLate() {
                outcomes.add("refused " + name);
                ended.countDown();
            }
        });
    }
}
