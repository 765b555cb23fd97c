package org.toucanlane.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.retry.RepeatRule.Failure;
import org.toucanlane.policy.retry.RepeatRule.Kind;

class RepeatRuleTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final RetryBudget budget = new RetryBudget(0.1, 2);

    @Test
    void neverRepeatsWhatMayHaveRunUnlessThatDoesNoHarm() {
        assertThat(RepeatRule.allows(new Failure(Kind.MAY_HAVE_RUN, false, 3, 0, SECOND), budget))
                .isFalse();
        assertThat(RepeatRule.allows(new Failure(Kind.MAY_HAVE_RUN, true, 3, 0, SECOND), budget))
                .isTrue();
    }

    @Test
    void sendsToNoMoreEndpointsThanTheRouteAllows() {
        assertThat(RepeatRule.allows(new Failure(Kind.MAY_HAVE_RUN, true, 0, 0, SECOND), budget))
                .isFalse();
    }

    @Test
    void repeatsARefusalOfAnyKindOfRequestButNotForEver() {
        assertThat(RepeatRule.allows(new Failure(Kind.REFUSED, false, 0, 0, SECOND), budget))
                .isTrue();
        assertThat(RepeatRule.allows(new Failure(Kind.REFUSED, false, 0, 2, SECOND), budget))
                .isFalse();
    }

    @Test
    void stopsWhenTheBudgetIsSpent() {
        Failure failure = new Failure(Kind.REFUSED, true, 1, 0, SECOND);
        assertThat(RepeatRule.allows(failure, budget)).isTrue();
        assertThat(RepeatRule.allows(failure, budget)).isTrue();
        assertThat(RepeatRule.allows(failure, budget)).isFalse();
    }

    @Test
    void spendsNothingOnWhatNeverReachedAnEndpoint() {
        Failure failure = new Failure(Kind.NOT_SENT, false, 1, 0, SECOND);
        for (int i = 0; i < 10; i++) {
            assertThat(RepeatRule.allows(failure, budget)).isTrue();
        }
    }

    @Test
    void givesUpWhenNoTimeIsLeft() {
        assertThat(RepeatRule.allows(new Failure(Kind.NOT_SENT, true, 1, 0, Duration.ofMillis(20)), budget))
                .isFalse();
    }
}
