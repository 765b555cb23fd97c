package org.toucanlane.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SilenceRuleTest {

    @Test
    void waitsLongerWhereMoreTimeIsExpected() {
        assertThat(SilenceRule.beforeAnswer(20, false)).isEqualTo(Duration.ofMillis(700));
        assertThat(SilenceRule.beforeAnswer(500, false)).isEqualTo(Duration.ofSeconds(2));
        assertThat(SilenceRule.beforeAnswer(500, true)).isGreaterThan(SilenceRule.beforeAnswer(500, false));
    }

    @Test
    void waitsForSeveralPausesOfAStream() {
        assertThat(SilenceRule.betweenEvents(Optional.of(Duration.ofMillis(300)), false))
                .isEqualTo(Duration.ofMillis(900));
        assertThat(SilenceRule.betweenEvents(Optional.empty(), false)).isEqualTo(Duration.ofMillis(700));
    }
}
