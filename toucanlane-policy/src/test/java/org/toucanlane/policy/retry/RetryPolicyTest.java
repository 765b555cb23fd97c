package org.toucanlane.policy.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.retry.RetryPolicy.Failure;
import org.toucanlane.policy.retry.RetryPolicy.FailureKind;

class RetryPolicyTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final RetryBudget budget = new RetryBudget(0.1, 2);

    @Test
    void retriesAnAttemptThatMayHaveRunOnlyIfIdempotent() {
        assertThat(RetryPolicy.shouldRetry(new Failure(FailureKind.MAY_HAVE_RUN, false, 3, 0, SECOND), budget))
                .isFalse();
        assertThat(RetryPolicy.shouldRetry(new Failure(FailureKind.MAY_HAVE_RUN, true, 3, 0, SECOND), budget))
                .isTrue();
    }

    @Test
    void doesNotRetryWithoutEndpointsLeft() {
        assertThat(RetryPolicy.shouldRetry(new Failure(FailureKind.MAY_HAVE_RUN, true, 0, 0, SECOND), budget))
                .isFalse();
    }

    @Test
    void retriesRefusedRequestsUpToTheMaximum() {
        assertThat(RetryPolicy.shouldRetry(new Failure(FailureKind.REFUSED, false, 0, 0, SECOND), budget))
                .isTrue();
        assertThat(RetryPolicy.shouldRetry(new Failure(FailureKind.REFUSED, false, 0, 2, SECOND), budget))
                .isFalse();
    }

    @Test
    void doesNotRetryWhenTheBudgetIsExhausted() {
        Failure failure = new Failure(FailureKind.REFUSED, true, 1, 0, SECOND);
        assertThat(RetryPolicy.shouldRetry(failure, budget)).isTrue();
        assertThat(RetryPolicy.shouldRetry(failure, budget)).isTrue();
        assertThat(RetryPolicy.shouldRetry(failure, budget)).isFalse();
    }

    @Test
    void doesNotWithdrawFromTheBudgetForUnsentAttempts() {
        Failure failure = new Failure(FailureKind.NOT_SENT, false, 1, 0, SECOND);
        for (int i = 0; i < 10; i++) {
            assertThat(RetryPolicy.shouldRetry(failure, budget)).isTrue();
        }
    }

    @Test
    void doesNotRetryShortlyBeforeTheDeadline() {
        assertThat(RetryPolicy.shouldRetry(
                        new Failure(FailureKind.NOT_SENT, true, 1, 0, Duration.ofMillis(20)), budget))
                .isFalse();
    }

    /** While an endpoint is silent, each request on it may get one alternative at a time, within the same bounds. */
    @Test
    void allowsAnAlternativeToASilentAttemptWithinTheBoundsOfARetry() {
        assertThat(RetryPolicy.allowsAlternative(new Failure(FailureKind.MAY_HAVE_RUN, true, 1, 1, SECOND)))
                .isTrue();
        assertThat(RetryPolicy.allowsAlternative(new Failure(FailureKind.MAY_HAVE_RUN, false, 1, 0, SECOND)))
                .isFalse();
        assertThat(RetryPolicy.allowsAlternative(new Failure(FailureKind.MAY_HAVE_RUN, true, 0, 0, SECOND)))
                .isFalse();
        assertThat(RetryPolicy.allowsAlternative(new Failure(FailureKind.MAY_HAVE_RUN, true, 1, 2, SECOND)))
                .isFalse();
        assertThat(RetryPolicy.allowsAlternative(
                        new Failure(FailureKind.MAY_HAVE_RUN, true, 1, 0, Duration.ofMillis(20))))
                .isFalse();
    }
}
