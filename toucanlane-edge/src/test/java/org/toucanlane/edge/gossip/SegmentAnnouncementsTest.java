package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.fleet.PromptSegment;

class SegmentAnnouncementsTest {

    private static final PromptSegment LONG = new PromptSegment("long", 13_300);

    private final SegmentAnnouncements announcements = new SegmentAnnouncements();

    @Test
    void announcesSharedSegmentsForALimitedNumberOfRounds() {
        announcements.addPrompt(1, List.of(LONG, new PromptSegment("short", 50), new PromptSegment("own", 9_000)));
        Map<Integer, List<PromptSegment>> expected = Map.of(1, List.of(LONG));
        for (int round = 0; round < 6; round++) {
            assertThat(announcements.pending(tag -> true)).isEqualTo(expected);
            announcements.nextRound();
        }
        assertThat(announcements.pending(tag -> true)).isEmpty();
    }

    /** Callers that name a thousand new segments with each request made the map grow without a bound. */
    @Test
    void keepsABoundedNumberOfSegments() {
        for (int i = 0; i < 2 * SegmentAnnouncements.MAX_SEGMENTS; i++) {
            announcements.add(1, List.of(new PromptSegment("new-" + i, 600)));
        }
        assertThat(announcements.size()).isEqualTo(SegmentAnnouncements.MAX_SEGMENTS);
    }

    @Test
    void announcesARepeatedSegmentAgainOnlyAfterTheRetentionRounds() {
        announcements.add(1, List.of(LONG));
        for (int round = 0; round < 11; round++) {
            announcements.nextRound();
            announcements.add(1, List.of(LONG));
        }
        assertThat(announcements.pending(tag -> true)).isEmpty();
        announcements.nextRound();
        announcements.add(1, List.of(LONG));
        assertThat(announcements.pending(tag -> true)).isNotEmpty();
        assertThat(announcements.pending(tag -> tag != 1)).isEmpty();
    }
}
