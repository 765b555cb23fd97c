package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Tests {@link ChannelLimit} with callers that open connections and stay. */
class ChannelLimitTest {

    @Test
    void keepsASixthFree() {
        ChannelLimit limit = ChannelLimit.of(108);
        for (int i = 0; i < 90; i++) {
            limit.opened();
            assertThat(limit.isExceeded()).isFalse();
        }
        limit.opened();
        assertThat(limit.isExceeded()).isTrue();
        limit.closed();
        assertThat(limit.isExceeded()).isFalse();
        assertThat(limit.open()).isEqualTo(90);
    }

    @Test
    void rejectsALimitThatAllowsNothing() {
        assertThatThrownBy(() -> ChannelLimit.of(0)).hasMessageContaining("maxChannels must be positive: 0");
    }
}
