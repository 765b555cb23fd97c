package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EndpointRateShareTest {

    private static final double REQUESTS_PER_SECOND = 4;

    /**
     * Simulates the return of an endpoint that all hosts have requests for; each host learns of it within 0.4 s of the
     * first one.
     */
    @Test
    void boundsTheTotalRateOfAllHostsFromTheFirstSecond() {
        for (int hosts : new int[] {1, 3, 26, 58}) {
            List<Double> sends = simulateSends(hosts);
            for (double start : sends) {
                long inSecond = sends.stream()
                        .filter(at -> at >= start && at < start + 1)
                        .count();
                assertThat(inSecond)
                        .as("requests of %s hosts in the second from %s s", hosts, start)
                        .isLessThanOrEqualTo((long) (REQUESTS_PER_SECOND * 1.5 + 3));
            }
            assertThat(sends.stream().filter(at -> at < 3).count())
                    .isGreaterThanOrEqualTo((long) REQUESTS_PER_SECOND * 2);
        }
    }

    private static List<Double> simulateSends(int hosts) {
        List<String> names =
                IntStream.range(0, hosts).mapToObj(i -> "host-" + i).toList();
        Random random = new Random(5);
        List<Double> sends = new ArrayList<>();
        for (String self : names) {
            List<String> others =
                    names.stream().filter(name -> !name.equals(self)).toList();
            EndpointRateShare limit = EndpointRateShare.of(self, others, "endpoint", REQUESTS_PER_SECOND);
            double delay = random.nextDouble() * 0.4;
            long last = -1;
            for (int millis = 0; millis < 5_000; millis++) {
                OptionalLong turn = limit.turnAt(Duration.ofMillis(millis));
                if (turn.isPresent() && turn.getAsLong() > last) {
                    last = turn.getAsLong();
                    sends.add(delay + millis / 1_000.0);
                }
            }
        }
        return sends;
    }

    @Test
    void unusedTurnsExpire() {
        EndpointRateShare limit = new EndpointRateShare(2, 26, REQUESTS_PER_SECOND);
        assertThat(limit.turnAt(Duration.ofMillis(499))).isEmpty();
        assertThat(limit.turnAt(Duration.ofMillis(500))).hasValue(2);
        assertThat(limit.turnAt(Duration.ofMillis(749))).hasValue(2);
        assertThat(limit.turnAt(Duration.ofMillis(750))).isEmpty();
        assertThat(limit.turnAt(Duration.ofMillis(7_100))).hasValue(28);
    }

    @Test
    void assignsDifferentTurnsAtDifferentEndpoints() {
        List<String> others = IntStream.range(0, 20).mapToObj(i -> "host-" + i).toList();
        assertThat(IntStream.range(0, 30)
                        .map(i -> EndpointRateShare.of("self", others, "endpoint-" + i, 1)
                                .hostIndex())
                        .distinct()
                        .count())
                .isGreaterThan(5);
    }

    @Test
    void rejectsAZeroRate() {
        assertThatThrownBy(() -> EndpointRateShare.of("self", List.of(), "e", 0))
                .hasMessageContaining("0");
    }
}
