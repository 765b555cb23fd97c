package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class StreamPausesTest {

    private final StreamPauses pauses = new StreamPauses();

    @Test
    void keepsNothingApartBeforeTheFirstStream() {
        assertThat(pauses.severity()).isZero();
    }

    /** Engines on which a full prefill holds up a stream for at most two thirds of the target. */
    @Test
    void keepsNothingApartWhilePausesStayWellWithinTheirTarget() {
        record(300, 0.05, 0.65);
        assertThat(pauses.severity()).isLessThan(0.2);
    }

    /** Engines on which a full prefill holds up a stream for about the whole target. */
    @Test
    void keepsLongPromptsApartAfterFewStreamsWithLongPauses() {
        record(15, 0.6, 1.2);
        assertThat(pauses.severity()).isEqualTo(1);
    }

    @Test
    void isNotMisledByOneStalledStream() {
        record(100, 0.05, 0.4);
        pauses.record(50);
        assertThat(pauses.severity()).isLessThan(0.5);
    }

    /** Records streams whose longest pauses are spread evenly over a range. */
    private void record(int count, double least, double most) {
        Random random = new Random(3);
        for (int i = 0; i < count; i++) {
            pauses.record(least + random.nextDouble() * (most - least));
        }
    }
}
