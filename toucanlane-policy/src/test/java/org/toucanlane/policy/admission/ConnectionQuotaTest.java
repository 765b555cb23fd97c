package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ConnectionQuotaTest {

    private static final int MIB = 1 << 20;

    private final ConnectionQuota<String> unsent = ConnectionQuota.of(8 * MIB);

    /** Callers that read nothing took all memory of a host. */
    @Test
    void givesUpTheLargestBeyondTheLimit() {
        List<String> slow = IntStream.range(0, 10).mapToObj(i -> "slow" + i).toList();
        for (int i = 0; i < 1_000; i++) {
            assertThat(unsent.record(slow.get(i % 10), 128 << 10)).isEmpty();
        }
        assertThat(unsent.record("greedy", 6 * MIB)).isEmpty();
        assertThat(unsent.record("late", 2 * MIB)).contains("greedy");
        assertThat(unsent.total()).isEqualTo(10 * (128 << 10) + 2 * MIB);
        assertThat(unsent.record("late", 0)).isEmpty();
        assertThat(unsent.total()).isEqualTo(10 * (128 << 10));
    }

    @Test
    void keepsTheOnlyOne() {
        assertThat(unsent.record("alone", 9 * MIB)).isEmpty();
        assertThat(unsent.record("other", 1)).contains("alone");
    }
}
