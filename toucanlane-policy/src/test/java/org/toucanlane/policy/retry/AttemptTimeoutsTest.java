package org.toucanlane.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AttemptTimeoutsTest {

    @Test
    void firstResponseTimeoutGrowsWithTheEstimateAndForwarding() {
        assertThat(AttemptTimeouts.forFirstResponse(20, false)).isEqualTo(Duration.ofMillis(700));
        assertThat(AttemptTimeouts.forFirstResponse(500, false)).isEqualTo(Duration.ofSeconds(2));
        assertThat(AttemptTimeouts.forFirstResponse(500, true))
                .isGreaterThan(AttemptTimeouts.forFirstResponse(500, false));
    }

    @Test
    void eventTimeoutIsAMultipleOfTheLongestGap() {
        assertThat(AttemptTimeouts.forNextEvent(Optional.of(Duration.ofMillis(300)), false))
                .isEqualTo(Duration.ofMillis(900));
        assertThat(AttemptTimeouts.forNextEvent(Optional.empty(), false)).isEqualTo(Duration.ofMillis(700));
    }
}
