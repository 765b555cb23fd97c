package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FreshnessTest {

    private static final Duration VALIDITY = Duration.ofMillis(3_000);

    private long monotonicMillis = 5_000;
    private long wallMillis = 1_000_000;
    private final FreshnessLease freshness =
            new FreshnessLease(() -> monotonicMillis * 1_000_000, () -> wallMillis, VALIDITY);

    @Test
    void holdsOnlyAfterAProof() {
        assertThat(freshness.isValid()).isFalse();
        freshness.renew(monotonicMillis * 1_000_000);
        assertThat(freshness.isValid()).isTrue();
    }

    @Test
    void countsItsAgeFromTheSendingOfTheQuestion() {
        long sentAt = monotonicMillis * 1_000_000;
        pass(2_500);
        freshness.renew(sentAt);
        pass(400);
        assertThat(freshness.isValid()).isTrue();
        pass(200);
        assertThat(freshness.isValid()).isFalse();
    }

    @Test
    void endsWhenTheProcessWasSuspended() {
        freshness.renew(monotonicMillis * 1_000_000);
        wallMillis += 2_000;
        assertThat(freshness.isValid()).isFalse();
        assertThat(freshness.checkClocks()).isTrue();
        freshness.renew(monotonicMillis * 1_000_000);
        assertThat(freshness.isValid()).isTrue();
    }

    @Test
    void doesNotTakeAnAnswerThatSpansASuspension() {
        long sentAt = monotonicMillis * 1_000_000;
        wallMillis += 4_000;
        freshness.renew(sentAt);
        assertThat(freshness.isValid()).isFalse();
    }

    @Test
    void endsWhenTheTimeOfDayJumpsBack() {
        freshness.renew(monotonicMillis * 1_000_000);
        wallMillis -= 5_000;
        assertThat(freshness.isValid()).isFalse();
    }

    @Test
    void toleratesDrift() {
        freshness.renew(monotonicMillis * 1_000_000);
        pass(1_000);
        wallMillis += 100;
        assertThat(freshness.isValid()).isTrue();
    }

    private void pass(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }
}
