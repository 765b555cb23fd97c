package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;

class FleetReportTest {

    private static final FleetReport REPORT = new FleetReport(
            new FleetReport.Header(-5, 1_700_000_000_000L, 9, 7, true, new StoreStatus(33, 120, -1)),
            List.of(new RegionReport(
                    "south",
                    40,
                    true,
                    Set.of(1, -2),
                    Map.of(-9, new EndpointUsage(1, 2, 3, false, 1.25, 4)),
                    Map.of("acme", new AccountUsage(12, -700)),
                    Map.of(-9, List.of(new PromptSegment("m/ab", 13_300))))));

    @Test
    void survivesTheWire() throws Exception {
        assertThat(FleetReport.decode(bytes())).isEqualTo(REPORT);
    }

    @Test
    void refusesOtherBytes() {
        for (String text : List.of("", "x", "[]", "{}", "{\"host\":1}", "qqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqq")) {
            assertThatThrownBy(() -> FleetReport.decode(text.getBytes(StandardCharsets.UTF_8)))
                    .isInstanceOf(IOException.class);
        }
        byte[] whole = bytes();
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThatThrownBy(() -> FleetReport.decode(cut)).isInstanceOf(IOException.class);
        }
    }

    /** A damaged report is refused with the checked exception or read as another one; nothing else is thrown. */
    @Test
    void survivesDamage() {
        Random random = new Random(11);
        int refused = 0;
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = bytes();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                assertThat(FleetReport.decode(bytes)).isNotNull();
            } catch (IOException e) {
                refused++;
            }
        }
        assertThat(refused).isPositive();
    }

    private static byte[] bytes() {
        return FleetReport.encode(
                REPORT.header(),
                REPORT.regions().stream().map(FleetReport::encode).toList());
    }
}
