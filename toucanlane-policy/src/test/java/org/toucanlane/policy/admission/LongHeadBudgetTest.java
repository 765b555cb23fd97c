package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Replays requests with long heads, all at once, on {@link LongHeadBudget}. */
class LongHeadBudgetTest {

    private static final long LONG_HEAD = LongHeadBudget.bytesOf(15_000);

    private final LongHeadBudget budget = LongHeadBudget.of(10 << 20);

    @Test
    void refusesLongHeadsBeyondTheMemoryAndNoShortOnes() {
        long taken = IntStream.range(0, 240).filter(i -> budget.take(LONG_HEAD)).count();
        assertThat(taken * LONG_HEAD).isPositive().isLessThanOrEqualTo(10 << 20);
        assertThat(budget.take(LongHeadBudget.bytesOf(2_000))).isTrue();
        budget.giveBack(LONG_HEAD);
        assertThat(budget.take(LONG_HEAD)).isTrue();
    }

    @Test
    void allowsAHeadThatIsAlone() {
        assertThat(LongHeadBudget.of(1).take(LONG_HEAD)).isTrue();
    }
}
