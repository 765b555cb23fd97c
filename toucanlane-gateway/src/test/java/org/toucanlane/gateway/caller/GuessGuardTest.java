package org.toucanlane.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class GuessGuardTest {

    private final AtomicLong now = new AtomicLong();
    private final GuessGuard guard = new GuessGuard(new Ticker() {
        @Override
        public long read() {
            return now.get();
        }
    });

    @Test
    void wrongTriesAreBoundedForOneKeyFromOneSource() {
        for (int i = 0; i < GuessGuard.MAX_WRONG; i++) {
            assertThat(guard.mayTry("source", "key")).isTrue();
            guard.wrong("source", "key");
        }
        assertThat(guard.mayTry("source", "key")).isFalse();
        assertThat(guard.mayTry("elsewhere", "key")).isTrue();
        assertThat(guard.mayTry("source", "another")).isTrue();
        now.addAndGet(GuessGuard.pause().toNanos() + 1);
        assertThat(guard.mayTry("source", "key")).isTrue();
    }
}
