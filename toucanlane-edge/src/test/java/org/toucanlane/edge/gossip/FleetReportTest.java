package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;
import org.toucanlane.policy.capacity.SpeedEstimate;

class FleetReportTest {

    private static final FleetReport REPORT = new FleetReport(
            new FleetReport.Header(
                    -5, 1_700_000_000_000L, 9, 7, true, new StoreStatus(new StoreRevision(2, 33), 120, -1), 17),
            List.of(new RegionReport(
                    "south",
                    40,
                    true,
                    Set.of(1, -2),
                    Map.of(-9, new EndpointUsage(1, 2, 3, false, 1.25, 4)),
                    Map.of("acme", new AccountUsage(12, -700)),
                    Map.of(-9, List.of(new PromptSegment("m/ab", 13_300))))));

    @Test
    void roundTripsThroughTheEncoding() throws Exception {
        assertThat(FleetReport.decode(bytes())).isEqualTo(REPORT);
    }

    /** Hosts of this and the previous version exchange reports during a rolling restart. */
    @Test
    void keepsTheFormatOfThePreviousVersion() throws Exception {
        RegionReport region = REPORT.regions().get(0);
        FleetReport report = new FleetReport(
                REPORT.header(),
                List.of(new RegionReport(
                        region.region(),
                        region.ageMillis(),
                        region.includesSummary(),
                        Set.of(-2),
                        region.endpoints(),
                        region.accountUsage(),
                        region.cachedSegments())));
        byte[] bytes = HexFormat.of()
                .parseHex("72fbffffff80d095ffbc310907010421f00101110105736f757468280101feffffff01f7ffffff01020300"
                        + "7d04010461636d650cf70a01f7ffffff01046d2f6162f467");
        assertThat(bytes(report)).isEqualTo(bytes);
        assertThat(FleetReport.decode(bytes)).isEqualTo(report);
    }

    /** A measured speed rides in the usable state, which the previous version reads as true if it isn't 0. */
    @Test
    void carriesTheMeasuredSpeedInTheUsableState() throws Exception {
        for (double slowness : new double[] {0.4, 1, 2.5}) {
            EndpointUsage usage = new EndpointUsage(1, 2, 3, true, 1, 4, new SpeedEstimate(slowness, 9));
            RegionReport region = new RegionReport("south", 40, false, Set.of(), Map.of(-9, usage), Map.of(), Map.of());
            FleetReport decoded = FleetReport.decode(bytes(new FleetReport(REPORT.header(), List.of(region))));
            EndpointUsage received = decoded.regions().get(0).endpoints().get(-9);
            assertThat(received.usable()).isTrue();
            assertThat(received.speed().samples()).isEqualTo(9);
            assertThat(received.speed().slowness() / slowness).isBetween(0.98, 1.02);
        }
    }

    @Test
    void rejectsInvalidBytes() {
        for (String text : List.of("", "x", "[]", "{}", "{\"host\":1}", "qqqqqqqqqqqqqqqqqqqqqqqqqqqqqqqq")) {
            assertThatThrownBy(() -> FleetReport.decode(text.getBytes(StandardCharsets.UTF_8)))
                    .isInstanceOf(IOException.class);
        }
        byte[] complete = bytes();
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThatThrownBy(() -> FleetReport.decode(truncated)).isInstanceOf(IOException.class);
        }
    }

    /**
     * A corrupted report either fails with IOException or decodes to another report; no other exception may be thrown.
     */
    @Test
    void decodingCorruptedBytesThrowsOnlyIoException() {
        Random random = new Random(11);
        int rejected = 0;
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = bytes();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                assertThat(FleetReport.decode(bytes)).isNotNull();
            } catch (IOException e) {
                rejected++;
            }
        }
        assertThat(rejected).isPositive();
    }

    private static byte[] bytes() {
        return bytes(REPORT);
    }

    private static byte[] bytes(FleetReport report) {
        return FleetReport.encode(
                report.header(),
                report.regions().stream().map(FleetReport::encode).toList());
    }
}
