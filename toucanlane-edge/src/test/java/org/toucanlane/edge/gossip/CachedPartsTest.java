package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.fleet.CachedPart;

class CachedPartsTest {

    private static final CachedPart LONG = new CachedPart("long", 13_300);

    private final CachedParts parts = new CachedParts();

    @Test
    void tellsSharedPartsForSomeRoundsOnly() {
        parts.addPrompt(1, List.of(LONG, new CachedPart("short", 50), new CachedPart("own", 9_000)));
        Map<Integer, List<CachedPart>> told = Map.of(1, List.of(LONG));
        for (int round = 0; round < 6; round++) {
            assertThat(parts.toTell(tag -> true)).isEqualTo(told);
            parts.nextRound();
        }
        assertThat(parts.toTell(tag -> true)).isEmpty();
    }

    @Test
    void tellsWhatIsSentAgainOnlyAfterAWhile() {
        parts.add(1, List.of(LONG));
        for (int round = 0; round < 11; round++) {
            parts.nextRound();
            parts.add(1, List.of(LONG));
        }
        assertThat(parts.toTell(tag -> true)).isEmpty();
        parts.nextRound();
        parts.add(1, List.of(LONG));
        assertThat(parts.toTell(tag -> true)).isNotEmpty();
        assertThat(parts.toTell(tag -> tag != 1)).isEmpty();
    }
}
