package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountUse;

class LoadReportTest {

    @Test
    void survivesTheWire() throws Exception {
        LoadReport report = new LoadReport(
                "h",
                7,
                Map.of("e", new RemoteLoad(1, 2, 3, true, 1.25)),
                Map.of("acme", new AccountUse(12, -700)),
                Map.of("e", List.of(new CachedPart("m/ab", 13_300))));
        assertThat(LoadReport.decode(report.encode())).isEqualTo(report);
    }

    @Test
    void refusesOtherBytes() {
        for (String text : List.of("", "x", "[]", "{}", "{\"host\":1}")) {
            assertThatThrownBy(() -> LoadReport.decode(text.getBytes(StandardCharsets.UTF_8)))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void tellsSharedPartsForSomeRoundsOnly() {
        CachedParts parts = new CachedParts();
        parts.add(
                "e",
                List.of(new CachedPart("long", 13_300), new CachedPart("short", 50), new CachedPart("own", 9_000)));
        Map<String, List<CachedPart>> told = Map.of("e", List.of(new CachedPart("long", 13_300)));
        assertThat(parts.toTell()).isEqualTo(told);
        parts.nextRound(2);
        assertThat(parts.toTell()).isEqualTo(told);
        parts.nextRound(2);
        assertThat(parts.toTell()).isEmpty();
    }
}
