package org.toucanlane.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class FailedAttemptLimiterTest {

    private final AtomicLong now = new AtomicLong();
    private final FailedAttemptLimiter limiter = new FailedAttemptLimiter(new Ticker() {
        @Override
        public long read() {
            return now.get();
        }
    });

    @Test
    void limitsFailedAttemptsPerKeyAndSource() {
        for (int i = 0; i < FailedAttemptLimiter.MAX_FAILURES; i++) {
            assertThat(limiter.isAllowed("source", "key")).isTrue();
            limiter.recordFailure("source", "key");
        }
        assertThat(limiter.isAllowed("source", "key")).isFalse();
        assertThat(limiter.isAllowed("elsewhere", "key")).isTrue();
        assertThat(limiter.isAllowed("source", "another")).isTrue();
        now.addAndGet(FailedAttemptLimiter.retryAfter().toNanos() + 1);
        assertThat(limiter.isAllowed("source", "key")).isTrue();
    }
}
