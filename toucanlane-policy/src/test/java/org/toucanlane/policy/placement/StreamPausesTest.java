package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class StreamPausesTest {

    private final StreamPauses pauses = new StreamPauses();

    @Test
    void keepsLongPromptsApartUntilPausesAreKnownToBeShort() {
        assertThat(pauses.severity()).isEqualTo(1);
        record(300, 0.2, 0.7);
        assertThat(pauses.severity()).isZero();
    }

    @Test
    void keepsLongPromptsApartIfOneStreamInTenExceedsItsTarget() {
        record(300, 0.2, 0.7);
        Random random = new Random(4);
        for (int i = 0; i < 300; i++) {
            pauses.record(random.nextInt(10) == 0 ? 1.2 : 0.3);
        }
        assertThat(pauses.severity()).isGreaterThan(0.5);
    }

    /** Records streams whose longest pauses are spread evenly over a range. */
    private void record(int count, double least, double most) {
        Random random = new Random(3);
        for (int i = 0; i < count; i++) {
            pauses.record(least + random.nextDouble() * (most - least));
        }
    }
}
