package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.fleet.PromptSegment;

class CachedPartsTest {

    private static final PromptSegment LONG = new PromptSegment("long", 13_300);

    private final SegmentAnnouncements parts = new SegmentAnnouncements();

    @Test
    void tellsSharedPartsForSomeRoundsOnly() {
        parts.addPrompt(1, List.of(LONG, new PromptSegment("short", 50), new PromptSegment("own", 9_000)));
        Map<Integer, List<PromptSegment>> told = Map.of(1, List.of(LONG));
        for (int round = 0; round < 6; round++) {
            assertThat(parts.pending(tag -> true)).isEqualTo(told);
            parts.nextRound();
        }
        assertThat(parts.pending(tag -> true)).isEmpty();
    }

    @Test
    void tellsWhatIsSentAgainOnlyAfterAWhile() {
        parts.add(1, List.of(LONG));
        for (int round = 0; round < 11; round++) {
            parts.nextRound();
            parts.add(1, List.of(LONG));
        }
        assertThat(parts.pending(tag -> true)).isEmpty();
        parts.nextRound();
        parts.add(1, List.of(LONG));
        assertThat(parts.pending(tag -> true)).isNotEmpty();
        assertThat(parts.pending(tag -> tag != 1)).isEmpty();
    }
}
