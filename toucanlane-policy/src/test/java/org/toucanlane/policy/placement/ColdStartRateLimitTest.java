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

class ColdStartRateLimitTest {

    private static final double PER_SECOND = 4;

    /** Replays the return of an endpoint that all hosts want at once; each learns of it up to 0.4 s after the first. */
    @Test
    void keepsTheRateOverAllHostsFromTheFirstSecondOn() {
        for (int hosts : new int[] {1, 3, 26, 58}) {
            List<Double> sends = sends(hosts);
            for (double from : sends) {
                long inSecond =
                        sends.stream().filter(at -> at >= from && at < from + 1).count();
                assertThat(inSecond).as("%s hosts from %s s", hosts, from).isLessThanOrEqualTo((long)
                        (PER_SECOND * 1.5 + 3));
            }
            assertThat(sends.stream().filter(at -> at < 3).count()).isGreaterThanOrEqualTo((long) PER_SECOND * 2);
        }
    }

    private static List<Double> sends(int hosts) {
        List<String> names =
                IntStream.range(0, hosts).mapToObj(i -> "host-" + i).toList();
        Random random = new Random(5);
        List<Double> sends = new ArrayList<>();
        for (String self : names) {
            List<String> others =
                    names.stream().filter(name -> !name.equals(self)).toList();
            ColdStartRateLimit rate = ColdStartRateLimit.of(self, others, "endpoint", PER_SECOND);
            double learned = random.nextDouble() * 0.4;
            long last = -1;
            for (int millis = 0; millis < 5_000; millis++) {
                OptionalLong turn = rate.turnAt(Duration.ofMillis(millis));
                if (turn.isPresent() && turn.getAsLong() > last) {
                    last = turn.getAsLong();
                    sends.add(learned + millis / 1_000.0);
                }
            }
        }
        return sends;
    }

    @Test
    void losesTurnsThatAreNotUsed() {
        ColdStartRateLimit rate = new ColdStartRateLimit(2, 26, PER_SECOND);
        assertThat(rate.turnAt(Duration.ofMillis(499))).isEmpty();
        assertThat(rate.turnAt(Duration.ofMillis(500))).hasValue(2);
        assertThat(rate.turnAt(Duration.ofMillis(749))).hasValue(2);
        assertThat(rate.turnAt(Duration.ofMillis(750))).isEmpty();
        assertThat(rate.turnAt(Duration.ofMillis(7_100))).hasValue(28);
    }

    @Test
    void givesHostsOtherTurnsAtOtherEndpoints() {
        List<String> others = IntStream.range(0, 20).mapToObj(i -> "host-" + i).toList();
        assertThat(IntStream.range(0, 30)
                        .map(i -> ColdStartRateLimit.of("self", others, "endpoint-" + i, 1)
                                .hostIndex())
                        .distinct()
                        .count())
                .isGreaterThan(5);
    }

    @Test
    void refusesARateThatIsNone() {
        assertThatThrownBy(() -> ColdStartRateLimit.of("self", List.of(), "e", 0))
                .hasMessageContaining("0");
    }
}
