package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FreshnessTest {

    private static final Duration VALIDITY = Duration.ofMillis(3_000);

    private long monotonicMillis = 5_000;
    private long wallMillis = 1_000_000;
    private final Freshness freshness = new Freshness(() -> monotonicMillis * 1_000_000, () -> wallMillis, VALIDITY);

    @Test
    void holdsOnlyAfterAProof() {
        assertThat(freshness.holds()).isFalse();
        freshness.prove(monotonicMillis * 1_000_000);
        assertThat(freshness.holds()).isTrue();
    }

    @Test
    void countsItsAgeFromTheSendingOfTheQuestion() {
        long sentAt = monotonicMillis * 1_000_000;
        pass(2_500);
        freshness.prove(sentAt);
        pass(400);
        assertThat(freshness.holds()).isTrue();
        pass(200);
        assertThat(freshness.holds()).isFalse();
    }

    @Test
    void endsWhenTheProcessWasSuspended() {
        freshness.prove(monotonicMillis * 1_000_000);
        wallMillis += 2_000;
        assertThat(freshness.holds()).isFalse();
        assertThat(freshness.checkClocks()).isTrue();
        freshness.prove(monotonicMillis * 1_000_000);
        assertThat(freshness.holds()).isTrue();
    }

    @Test
    void doesNotTakeAnAnswerThatSpansASuspension() {
        long sentAt = monotonicMillis * 1_000_000;
        wallMillis += 4_000;
        freshness.prove(sentAt);
        assertThat(freshness.holds()).isFalse();
    }

    @Test
    void endsWhenTheTimeOfDayJumpsBack() {
        freshness.prove(monotonicMillis * 1_000_000);
        wallMillis -= 5_000;
        assertThat(freshness.holds()).isFalse();
    }

    @Test
    void toleratesDrift() {
        freshness.prove(monotonicMillis * 1_000_000);
        pass(1_000);
        wallMillis += 100;
        assertThat(freshness.holds()).isTrue();
    }

    private void pass(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }
}
