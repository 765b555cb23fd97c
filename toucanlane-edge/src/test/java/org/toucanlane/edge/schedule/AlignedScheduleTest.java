package org.toucanlane.edge.schedule;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class AlignedScheduleTest {

    @Test
    void waitsForTheNextMultiple() {
        assertThat(AlignedSchedule.nanosToNext(0, 200)).isEqualTo(200);
        assertThat(AlignedSchedule.nanosToNext(450, 200)).isEqualTo(150);
        assertThat(AlignedSchedule.nanosToNext(-30, 100)).isEqualTo(130);
    }

    @Test
    void leavesOutAMultipleThatIsTooClose() {
        assertThat(AlignedSchedule.nanosToNext(399, 200)).isEqualTo(201);
        assertThat(AlignedSchedule.nanosToNext(301, 200)).isEqualTo(299);
        assertThat(AlignedSchedule.nanosToNext(300, 200)).isEqualTo(100);
    }

    @Test
    void bringsTasksWithDifferentIntervalsTogether() {
        long elapsed = 123_456;
        long first = elapsed + AlignedSchedule.nanosToNext(elapsed, 200);
        long second = elapsed + 77 + AlignedSchedule.nanosToNext(elapsed + 77, 400);
        assertThat(first % 200).isZero();
        assertThat(second % 200).isZero();
    }

    @Test
    void rejectsIntervalOfZero() {
        assertThatThrownBy(() -> AlignedSchedule.nanosToNext(1, 0))
                .hasMessageContaining("interval must be positive: 0");
    }
}
