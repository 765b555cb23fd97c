package org.toucanlane.policy.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests what a host knows of callers who connect, wait and come back in a herd. */
class ReturningCallersTest {

    private static final int PER_PASS = 16;
    private static final int QUEUE = 64;

    @Test
    void connectionsOfAFullQueueWaitSinceTheFirstPass() {
        AcceptClock clock = new AcceptClock(PER_PASS, QUEUE);
        for (int pass = 0; pass < 4; pass++) {
            assertThat(accept(clock, PER_PASS, 100 * pass)).isEqualTo(0);
        }
        // All that were in the queue at first have been taken.
        assertThat(accept(clock, 3, 400)).isEqualTo(1);
        assertThat(accept(clock, 1, 500)).isEqualTo(500);
    }

    private static long accept(AcceptClock clock, int connections, long readableSince) {
        long since = -1;
        for (int i = 0; i < connections; i++) {
            since = clock.accepted(readableSince, readableSince + 1);
        }
        clock.endPass();
        return since;
    }

    @Test
    void callersGiveUpByTheKindOfTheirRequest() {
        Duration objective = Duration.ofMillis(400);
        assertThat(CallerPatience.REPEATABLE.givesUpAfter(Duration.ofMillis(1_500), objective, Optional.empty()))
                .isEqualTo(Duration.ofMillis(500));
        assertThat(CallerPatience.REPEATABLE.givesUpAfter(Duration.ofSeconds(9), objective, Optional.empty()))
                .isEqualTo(Duration.ofSeconds(1));
        assertThat(CallerPatience.ONCE.givesUpAfter(Duration.ofSeconds(9), objective, Optional.empty()))
                .isEqualTo(Duration.ofSeconds(9));
        assertThat(CallerPatience.STREAM.givesUpAfter(Duration.ofSeconds(9), objective, Optional.empty()))
                .isEqualTo(Duration.ofSeconds(2));
        assertThat(CallerPatience.STREAM.givesUpAfter(
                        Duration.ofSeconds(9), Duration.ofSeconds(1), Optional.of(Duration.ofSeconds(1))))
                .isEqualTo(Duration.ofSeconds(8));
        assertThat(CallerPatience.STREAM.givesUpAfter(Duration.ZERO, objective, Optional.empty()))
                .isEqualTo(Duration.ofMillis(20));
    }

    /** 500 callers who are refused at once come back over the whole time, and none of them early. */
    @Test
    void refusedCallersDoNotComeBackAtOnce() {
        Random ids = new Random(7);
        int[] tenths = new int[10];
        for (int i = 0; i < 500; i++) {
            Duration delay = RetrySpread.around(Duration.ofSeconds(1), ids.nextLong());
            assertThat(delay).isBetween(Duration.ofMillis(500), Duration.ofMillis(1_500));
            tenths[(int) Math.min(9, (delay.toMillis() - 500) / 100)]++;
        }
        assertThat(Arrays.stream(tenths).max().orElseThrow()).isLessThan(100);
        assertThat(RetrySpread.around(Duration.ofSeconds(1), 5))
                .isEqualTo(RetrySpread.around(Duration.ofSeconds(1), 5));
    }
}
