package org.toucanlane.policy.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Collections;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.capacity.ServiceReplay.Engine;
import org.toucanlane.policy.capacity.ServiceReplay.Knowledge;

/** Replays engines of uneven speed. Times are in milliseconds. */
class ServiceSpeedsTest {

    private static final double[] UNEVEN = {0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7};
    private static final int SEEDS = 5;

    @Test
    void servesTheWorstRequestAsFastAsIfTheSpeedsWereKnown() {
        double oracle = worst(Knowledge.ORACLE, 250, 0, 0);
        assertThat(worst(Knowledge.LEARNED, 250, 0, 0)).isLessThan(1.1 * oracle);
    }

    /** Engines that slow down with every request, and for a moment now and then. */
    @Tag("known-red")
    @Test
    void servesTheWorstRequestAsFastWhileEnginesAreSlowForMomentsAndWithEachRequest() {
        double oracle = worst(Knowledge.ORACLE, 250, 0.15, 0.02);
        assertThat(worst(Knowledge.LEARNED, 250, 0.15, 0.02)).isLessThan(1.1 * oracle);
    }

    /** Returns the worst time after three seconds, averaged over the seeds. */
    private static double worst(Knowledge knowledge, double perSecond, double noise, double perRunning) {
        return IntStream.range(0, SEEDS)
                .mapToDouble(seed -> {
                    ServiceReplay replay = new ServiceReplay(knowledge, seed, UNEVEN);
                    replay.engines.forEach(engine -> {
                        engine.noise = noise;
                        engine.perRunning = perRunning;
                    });
                    replay.run(3_000, perSecond);
                    return Collections.max(replay.run(13_000, perSecond));
                })
                .average()
                .orElseThrow();
    }

    @Tag("known-red")
    @Test
    void followsALastingChangeWithinTwoSeconds() {
        Engine engine = slowedForTwoSeconds().engines.get(2);
        assertThat(engine.learned.lasting()).isBetween(1.7, 3.5);
    }

    @Test
    void forgetsAChangeThatIsOver() {
        ServiceReplay replay = slowedForTwoSeconds();
        Engine engine = replay.engines.get(2);
        assertThat(engine.learned.lasting()).isGreaterThan(1.2);
        engine.speed = 1;
        replay.run(10_000, 120);
        assertThat(engine.learned.lasting()).isEqualTo(1);
    }

    /** Returns a replay in which the third of six engines has had 0.4 of its speed for two seconds. */
    private static ServiceReplay slowedForTwoSeconds() {
        ServiceReplay replay = new ServiceReplay(Knowledge.LEARNED, 4, 1, 1, 1, 1, 1, 1);
        replay.run(4_000, 120);
        replay.engines.get(2).speed = 0.4;
        replay.run(6_000, 120);
        return replay;
    }

    @Test
    void takesOnePauseForNoChange() {
        ServiceReplay replay = new ServiceReplay(Knowledge.LEARNED, 5, 1, 1, 1, 1, 1, 1);
        replay.run(4_000, 120);
        Engine engine = replay.engines.get(2);
        engine.freeAt = 4_100;
        replay.run(8_000, 120);
        assertThat(replay.changes).isEmpty();
    }

    /** Endpoints that are alike stay at the short-lived deviation, whatever the noise. */
    @Test
    void leavesAlikeEndpointsAlone() {
        ServiceReplay replay = new ServiceReplay(Knowledge.LEARNED, 6, 1, 1, 1, 1, 1, 1);
        for (int second = 1; second <= 20; second++) {
            replay.run(second * 1_000, 150);
            assertThat(replay.service.isUneven()).isFalse();
        }
    }

    @Test
    void triesANewEndpoint() {
        ServiceReplay replay = new ServiceReplay(Knowledge.LEARNED, 7, UNEVEN);
        replay.run(4_000, 350);
        Engine fast = replay.add(1.7);
        assertThat(fast.learned.slowdown(1, 1, (long) (4_000 * ServiceReplay.MILLI)))
                .isEqualTo(1);
        replay.run(7_000, 350);
        assertThat(fast.learned.lasting()).isBetween(0.3, 0.6);
        assertThat(fast.requests).isGreaterThan(60);
    }

    /** An endpoint that was slow while it was last used counts more and more as the others. */
    @Test
    void triesAnIdleEndpointAgain() {
        SampleWindow window = new SampleWindow();
        for (int i = 0; i < 15; i++) {
            window.add(1.2, 0, i * 100_000_000L);
        }
        assertThat(window.level(0, 0, 1_900_000_000L)).isEqualTo(1.2);
        assertThat(window.level(0, 0, 2_900_000_000L)).isBetween(0.4, 0.7);
        assertThat(window.level(0, 0, 20_000_000_000L)).isZero();
    }

    @Test
    void takesWhatOtherHostsReport() {
        ServiceSpeeds service = new ServiceSpeeds(800, (endpoint, from, to) -> {});
        EndpointSpeed slow = service.add("slow", () -> new SpeedEstimate(2, 24), 0);
        EndpointSpeed usual = service.add("usual", () -> new SpeedEstimate(1.05, 30), 0);
        service.add("other", () -> new SpeedEstimate(1, 25), 0);
        assertThat(slow.slowdown(1, 0, 1)).isBetween(1.8, 2.0);
        assertThat(usual.slowdown(1, 0, 1)).isEqualTo(1);
    }

    @Test
    void combinesAndSeparatesEstimates() {
        SpeedEstimate one = new SpeedEstimate(2, 3);
        SpeedEstimate sum = one.plus(new SpeedEstimate(0.5, 3));
        assertThat(sum.slowness()).isCloseTo(1, within(1e-9));
        assertThat(sum.minus(one).slowness()).isCloseTo(0.5, within(1e-9));
        assertThat(one.minus(sum)).isEqualTo(SpeedEstimate.NONE);
        assertThat(SpeedEstimate.NONE.plus(one)).isEqualTo(one);
    }

    /** A server whose requests share a processor gains nothing from more of them than it can run at full speed. */
    @Test
    void findsTheConcurrencyUpToWhichAnEndpointGains() {
        ConcurrencySlope slope = new ConcurrencySlope();
        ConcurrencySlope level = new ConcurrencySlope();
        for (int i = 0; i < 200; i++) {
            int running = i * 7 % 12;
            double noise = i % 5 * 0.02;
            slope.add(0.25 * running + noise, running, i * 10_000_000L);
            level.add(noise, running, i * 10_000_000L);
        }
        assertThat(slope.perRequest()).isBetween(0.2, 0.3);
        assertThat(level.perRequest()).isZero();
    }
}
