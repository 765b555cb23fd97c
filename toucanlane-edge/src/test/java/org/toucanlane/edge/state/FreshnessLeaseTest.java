package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FreshnessLeaseTest {

    private static final Duration VALIDITY = Duration.ofMillis(3_000);

    private long monotonicMillis = 5_000;
    private long wallMillis = 1_000_000;
    private final FreshnessLease lease =
            new FreshnessLease(() -> monotonicMillis * 1_000_000, () -> wallMillis, VALIDITY);

    @Test
    void isValidOnlyAfterARenewal() {
        assertThat(lease.isValid()).isFalse();
        lease.renew(monotonicMillis * 1_000_000);
        assertThat(lease.isValid()).isTrue();
    }

    @Test
    void measuresItsAgeFromTheSendingOfTheRequest() {
        long sentAt = monotonicMillis * 1_000_000;
        advance(2_500);
        lease.renew(sentAt);
        advance(400);
        assertThat(lease.isValid()).isTrue();
        advance(200);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void endsAfterASuspensionOfTheProcess() {
        lease.renew(monotonicMillis * 1_000_000);
        wallMillis += 2_000;
        assertThat(lease.isValid()).isFalse();
        assertThat(lease.checkClocks()).isTrue();
        lease.renew(monotonicMillis * 1_000_000);
        assertThat(lease.isValid()).isTrue();
    }

    @Test
    void ignoresAResponseThatSpansASuspension() {
        long sentAt = monotonicMillis * 1_000_000;
        wallMillis += 4_000;
        lease.renew(sentAt);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void endsWhenTheWallClockJumpsBack() {
        lease.renew(monotonicMillis * 1_000_000);
        wallMillis -= 5_000;
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void toleratesClockDrift() {
        lease.renew(monotonicMillis * 1_000_000);
        advance(1_000);
        wallMillis += 100;
        assertThat(lease.isValid()).isTrue();
    }

    private void advance(long millis) {
        monotonicMillis += millis;
        wallMillis += millis;
    }
}
