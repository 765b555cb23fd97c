package org.toucanlane.policy.offer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.toucanlane.policy.admission.AdmissionLimit;
import org.toucanlane.policy.capacity.EngineProfile;
import org.toucanlane.policy.placement.EndpointLoad;
import org.toucanlane.policy.placement.LatencyEstimator;

/**
 * Replays a region at 2.8 times its mean demand beside one at 0.17 times, in steps of 10 ms: hosts of the first draw on
 * the offers of the second, which they know from reports that are 0.2 to 0.6 s old.
 */
class OfferReplayTest {

    private static final long MILLI = 1_000_000;
    private static final int STEP_MILLIS = 10;
    private static final int SECONDS = 20;
    private static final int HOP_MILLIS = 65;
    private static final int ENGINES = 4;
    private static final int SLOTS = 32;
    private static final int MEAN_TOKENS = 1_500;
    private static final int DECODE_MILLIS = 500;
    private static final Duration OBJECTIVE = Duration.ofMillis(1_000);
    private static final double MAX_REFUSED_FRACTION = 0.02;

    private static final double CAPACITY_PER_SECOND = ENGINES * EngineProfile.START.prefillTokensPerMilli() * 1_000;
    private static final double BUSY = 2.8;
    private static final double CALM = 0.17;
    private static final int MIN_REPORT_DELAY_MILLIS = 200;
    private static final int MAX_REPORT_DELAY_MILLIS = 600;
    private static final BiPredicate<Integer, Random> NO_TROUBLE = (second, random) -> false;

    private final Random random = new Random(42);
    private final Region busy = new Region();
    private final Region calm = new Region();
    private final Deque<Long> hops = new ArrayDeque<>();
    private final List<Host> hosts = new ArrayList<>();
    private long hopsSent;
    private long hopsRefused;
    private long tokensTaken;
    private long lastHopAt;
    private boolean losesHalf;
    private int reports;

    @ParameterizedTest
    @CsvSource({
        "2, 0.55, 2.8",
        "6, 0.55, 2.8",
        "18, 0.55, 2.8",
        "6, 0.7, 2.8",
        "18, 0.7, 2.8",
        "2, 0.55, 8",
        "18, 0.7, 8"
    })
    void hopsFindTheirPlaceAndUseTheSpareRoom(int drawing, double meanUse, double peak) {
        play(drawing, meanUse, peak, NO_TROUBLE);
        double useful = Math.min(1 - CALM * meanUse, peak * meanUse - 1) * CAPACITY_PER_SECOND * SECONDS;
        assertThat(refusedFraction()).isLessThan(MAX_REFUSED_FRACTION);
        assertThat(tokensTaken / useful).isGreaterThan(0.5);
    }

    @Test
    void lostReportsDontOverloadTheOtherRegion() {
        play(6, 0.7, BUSY, (second, random) -> random.nextBoolean());
        assertThat(hopsSent).isPositive();
        assertThat(refusedFraction()).isLessThan(MAX_REFUSED_FRACTION);
    }

    @Test
    void offersExpireWhenTheLinkIsCut() {
        play(6, 0.7, BUSY, (second, random) -> second >= SECONDS / 2);
        assertThat(hopsSent).isPositive();
        assertThat(lastHopAt)
                .isLessThan((SECONDS / 2 * 1_000L + MAX_REPORT_DELAY_MILLIS + 2 * HOP_MILLIS) * MILLI
                        + HeldOffer.MAX_AGE.toNanos());
    }

    @Test
    void aRegionThatLosesHalfOfItsEndpointsOffersLess() {
        losesHalf = true;
        play(6, 0.7, BUSY, NO_TROUBLE);
        assertThat(hopsSent).isPositive();
        assertThat(refusedFraction()).isLessThan(MAX_REFUSED_FRACTION);
    }

    private double refusedFraction() {
        return (double) hopsRefused / Math.max(1, hopsSent);
    }

    private void play(int drawing, double meanUse, double peak, BiPredicate<Integer, Random> isLost) {
        busy.rate = peak * meanUse * CAPACITY_PER_SECOND / MEAN_TOKENS;
        calm.rate = CALM * meanUse * CAPACITY_PER_SECOND / MEAN_TOKENS;
        IntStream.range(0, drawing).forEach(index -> hosts.add(new Host(index)));
        for (int time = 0; time < SECONDS * 1_000; time += STEP_MILLIS) {
            long now = time * MILLI;
            if (losesHalf && time == SECONDS * 500) {
                calm.engines.subList(0, ENGINES / 2).forEach(engine -> engine.usable = false);
            }
            calm.step(now);
            busy.step(now);
            if (time % 200 == 0) {
                ServiceOffer offer = calm.offer(now, reports++);
                int second = time / 1_000;
                hosts.stream().filter(host -> !isLost.test(second, random)).forEach(host -> host.await(offer, now));
            }
            hosts.forEach(host -> host.step(now));
            calm.arrivals(now).forEach(tokens -> calm.admit(tokens, now));
            busy.arrivals(now)
                    .forEach(tokens -> hosts.get(random.nextInt(drawing)).place(tokens, now));
            deliverHops(now);
        }
    }

    private void deliverHops(long now) {
        while (!hops.isEmpty() && hops.peekFirst() / 100_000 * MILLI <= now) {
            int tokens = (int) (hops.removeFirst() % 100_000);
            hopsSent++;
            lastHopAt = now;
            if (calm.admit(tokens, now)) {
                tokensTaken += tokens;
            } else {
                hopsRefused++;
            }
        }
    }

    /** A host of the busy region. */
    private final class Host {

        private final int index;
        private final HeldOffer held = new HeldOffer();
        private final OverflowGate gate = new OverflowGate();
        private final Deque<Runnable> reportsOnTheWay = new ArrayDeque<>();
        private final Deque<Long> arrivalTimes = new ArrayDeque<>();

        private Host(int index) {
            this.index = index;
        }

        private void await(ServiceOffer offer, long now) {
            long delay = (MIN_REPORT_DELAY_MILLIS + random.nextInt(MAX_REPORT_DELAY_MILLIS - MIN_REPORT_DELAY_MILLIS))
                    * MILLI;
            arrivalTimes.add(now + delay);
            reportsOnTheWay.add(() -> held.update(offer.part(index, hosts.size()), now + HOP_MILLIS * MILLI));
        }

        private void step(long now) {
            while (!arrivalTimes.isEmpty() && arrivalTimes.peekFirst() <= now) {
                arrivalTimes.removeFirst();
                reportsOnTheWay.removeFirst().run();
            }
        }

        private void place(int tokens, long now) {
            if (gate.update(busy.best().waitMillis(), OBJECTIVE) && held.covers(tokens, now)) {
                held.spend(tokens, now);
                hops.addLast((now / MILLI + HOP_MILLIS) * 100_000 + tokens);
            } else {
                busy.admit(tokens, now);
            }
        }
    }

    /** A region with engines, each of which its hosts know at once. */
    private final class Region {

        private double rate;
        private final ArrivalRate arrivals = new ArrivalRate();
        private final List<Engine> engines =
                IntStream.range(0, ENGINES).mapToObj(index -> new Engine()).toList();

        private List<Integer> arrivals(long now) {
            double expected = rate * STEP_MILLIS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            return IntStream.range(0, count)
                    .mapToObj(index -> {
                        int tokens = 500 + random.nextInt(2 * (MEAN_TOKENS - 500));
                        arrivals.record(tokens, now);
                        return tokens;
                    })
                    .toList();
        }

        private ServiceOffer offer(long now, int turn) {
            List<EndpointLoad> loads = engines.stream()
                    .filter(engine -> engine.usable)
                    .map(Engine::load)
                    .toList();
            return SpareCapacity.offer(loads, arrivals.rate(now), OBJECTIVE, turn);
        }

        private Engine best() {
            return engines.stream()
                    .filter(engine -> engine.usable)
                    .min(Comparator.comparingDouble(Engine::waitMillis))
                    .orElseThrow();
        }

        private boolean admit(int tokens, long now) {
            Engine engine = best();
            double own = LatencyEstimator.unloadedMillis(engine.load(), tokens);
            if (!new AdmissionLimit(OBJECTIVE, 2).admits(engine.waitMillis(), own)) {
                return false;
            }
            engine.pending += tokens;
            engine.ends.addLast(now + (long) (engine.waitMillis() + DECODE_MILLIS) * MILLI);
            return true;
        }

        private void step(long now) {
            engines.forEach(engine -> {
                engine.pending = Math.max(
                        0, engine.pending - (long) (EngineProfile.START.prefillTokensPerMilli() * STEP_MILLIS));
                engine.ends.removeIf(end -> end <= now);
            });
        }
    }

    private static final class Engine {

        private final Deque<Long> ends = new ArrayDeque<>();
        private long pending;
        private boolean usable = true;

        private EndpointLoad load() {
            return new EndpointLoad("e", 1, SLOTS, ends.size(), pending, 0, 1_000_000, 1, 0, 600, EngineProfile.START);
        }

        private double waitMillis() {
            return LatencyEstimator.estimateMillis(load(), 0, 0) - LatencyEstimator.unloadedMillis(load(), 0);
        }
    }
}
