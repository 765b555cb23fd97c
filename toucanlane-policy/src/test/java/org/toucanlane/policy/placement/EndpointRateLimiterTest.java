package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointRateLimiterTest {

    private static final int WINDOW_SECONDS = 4;
    private static final Duration CLOCK_ERROR = Duration.ofMillis(50);
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;

    /**
     * Replays an endpoint that names its limit while all hosts have requests for it, first few and then many, and counts
     * those that it gets in any four seconds.
     */
    @ParameterizedTest
    @CsvSource({"1,1", "1,3", "2.7,3", "2.3,3", "0.5,8", "1,8", "2.3,58", "0.3,58", "40,3", "40,58", "300,58"})
    void boundsTheTotalRateOfAllHosts(double rate, int hosts) {
        List<Long> sends = simulate(rate, hosts, 0);
        double allowed = rate * 1.5 * WINDOW_SECONDS + 5;
        for (int i = 0; i < sends.size(); i++) {
            long start = sends.get(i);
            long count = sends.subList(i, sends.size()).stream()
                    .takeWhile(at -> at < start + WINDOW_SECONDS * SECOND)
                    .count();
            assertThat(count)
                    .as("requests of %s hosts from %s ns on", hosts, start)
                    .isLessThanOrEqualTo((long) allowed);
        }
    }

    /** The rate is used while all hosts have requests, whether they save or take turns. */
    @ParameterizedTest
    @CsvSource({"1,1", "2.7,3", "2.3,58", "40,3"})
    void usesTheRateWhileAllHostsHaveRequests(double rate, int hosts) {
        long busySeconds = 20;
        long sent = simulate(rate, hosts, 0).stream()
                .filter(at -> at >= 10 * SECOND)
                .count();
        assertThat(sent).isGreaterThanOrEqualTo((long) (rate * busySeconds * 0.85));
    }

    /** Simulates 10 s with few requests and 20 s with many. Returns the times of those sent, in order. */
    private static List<Long> simulate(double rate, int hosts, long seed) {
        Random random = new Random(seed);
        List<EndpointRateLimiter> limiters = new ArrayList<>();
        List<EndpointRateShare> shares = new ArrayList<>();
        List<Duration> clocks = new ArrayList<>();
        List<String> names = names(hosts);
        names.forEach(self -> {
            limiters.add(new EndpointRateLimiter(0));
            shares.add(EndpointRateShare.of(self, others(names, self), "endpoint", rate));
            clocks.add(Duration.ofDays(20_000).plusNanos((long) (CLOCK_ERROR.toNanos() * random.nextDouble())));
        });
        List<Long> sends = new ArrayList<>();
        for (long now = 0; now < 30 * SECOND; now += MILLI) {
            double perMilli = now < 10 * SECOND ? 0.002 : 0.2;
            for (int host = 0; host < hosts; host++) {
                Duration time = clocks.get(host).plusNanos(now);
                if (random.nextDouble() < perMilli
                        && limiters.get(host).delay(shares.get(host), now, time).isZero()) {
                    limiters.get(host).recordRequest(shares.get(host), now, time);
                    sends.add(now);
                }
            }
        }
        return sends;
    }

    private static List<String> names(int hosts) {
        return IntStream.range(0, hosts).mapToObj(i -> "host-" + i).toList();
    }

    private static List<String> others(List<String> names, String self) {
        return names.stream().filter(name -> !name.equals(self)).toList();
    }

    @ParameterizedTest
    @CsvSource({"2,1", "2.7,3", "2.3,58", "0.25,1"})
    void allowsARequestAfterTheDelayThatItTells(double rate, int hosts) {
        EndpointRateShare share = new EndpointRateShare(0, hosts, rate);
        EndpointRateLimiter limiter = new EndpointRateLimiter(0);
        long now = 0;
        for (int i = 0; i < 5; i++) {
            Duration time = Duration.ofDays(20_000).plusNanos(now);
            Duration delay = limiter.delay(share, now, time);
            assertThat(delay).isLessThanOrEqualTo(Duration.ofNanos((long) (hosts / rate * SECOND) + MILLI));
            now += delay.toNanos() + MILLI;
            time = time.plus(delay).plusNanos(MILLI);
            assertThat(limiter.delay(share, now, time)).isZero();
            limiter.recordRequest(share, now, time);
            assertThat(limiter.delay(share, now, time)).isPositive();
        }
    }

    @Test
    void keepsWhatItHasSavedWhenTheRateChanges() {
        EndpointRateLimiter limiter = new EndpointRateLimiter(0);
        EndpointRateShare slow = new EndpointRateShare(0, 1, 0.5);
        assertThat(limiter.delay(slow, SECOND, Duration.ZERO)).isEqualTo(Duration.ofSeconds(1));
        limiter.recordRequest(slow, 2 * SECOND, Duration.ZERO);
        EndpointRateShare fast = new EndpointRateShare(0, 1, 2);
        assertThat(limiter.delay(fast, 2 * SECOND, Duration.ZERO)).isEqualTo(Duration.ofMillis(500));
    }
}
