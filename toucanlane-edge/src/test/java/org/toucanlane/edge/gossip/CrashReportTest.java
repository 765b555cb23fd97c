package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.quarantine.CrashEvidence;
import org.toucanlane.policy.quarantine.CrashEvidence.Clearance;
import org.toucanlane.policy.quarantine.CrashEvidence.Crash;

class CrashReportTest {

    private static final int MAX_DATAGRAM_BYTES = 1_300;

    private static final CrashReport REPORT = new CrashReport(
            -5,
            1_700_000_000_000L,
            new CrashEvidence(
                    List.of(
                            new Crash(-9, Duration.ofMillis(40), List.of(List.of("m/a", "m/b"), List.of("m/ü"))),
                            new Crash(7, Duration.ZERO, List.of())),
                    List.of(new Clearance("m/a", Duration.ofSeconds(3)))));

    @Test
    void roundTripsThroughTheEncoding() throws Exception {
        assertThat(CrashReport.decode(bytes())).isEqualTo(REPORT);
        CrashReport empty = new CrashReport(1, 2, new CrashEvidence(List.of(), List.of()));
        assertThat(CrashReport.decode(onlyDatagram(empty))).isEqualTo(empty);
    }

    /** Times move back to the earliest report of a crash, so they must not do so each time evidence is passed on. */
    @Test
    void roundsAgesDownAndLimitsThem() throws Exception {
        assertThat(ageAfterDecoding(Duration.ofNanos(40_999_999))).isEqualTo(Duration.ofMillis(40));
        assertThat(ageAfterDecoding(Duration.ofDays(9))).isEqualTo(Duration.ofDays(1));
    }

    @Test
    void rejectsTruncatedBytes() {
        byte[] complete = bytes();
        for (int length = 0; length < complete.length; length++) {
            byte[] truncated = Arrays.copyOf(complete, length);
            assertThatThrownBy(() -> CrashReport.decode(truncated))
                    .as("%s bytes", length)
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void rejectsOtherDatagrams() {
        byte[] longer = Arrays.copyOf(bytes(), bytes().length + 1);
        assertThatThrownBy(() -> CrashReport.decode(longer))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("trailing bytes");
        for (int first = 0; first < 256; first++) {
            byte[] bytes = bytes();
            bytes[0] = (byte) first;
            assertThat(CrashReport.isCrashReport(bytes)).isEqualTo(first == 0x63);
            if (first != 0x63) {
                assertThatThrownBy(() -> CrashReport.decode(bytes))
                        .isInstanceOf(IOException.class)
                        .hasMessageContaining("not a crash report");
            }
        }
    }

    @Test
    void rejectsInvalidCounts() {
        List<Long> invalid = List.of(65_537L, (long) Integer.MAX_VALUE, 0xffff_ffffL);
        for (long count : invalid) {
            assertRejected("invalid entry count", new long[] {count});
            assertRejected("invalid entry count", new long[] {1, -1, 3, count});
            assertRejected("invalid entry count", new long[] {1, -1, 3, 1, count});
            assertRejected("invalid entry count", new long[] {0, count});
        }
        // Counts that are allowed, but not followed by as many entries.
        assertRejected("", new long[] {65_536});
        assertRejected("", new long[] {1, -1, 3, 65_536});
        assertRejected("", new long[] {0, 65_536});
    }

    @Test
    void rejectsInvalidAges() {
        long tooOld = Duration.ofDays(1).toMillis() + 1;
        assertRejected("invalid age", new long[] {1, -1, tooOld, 0, 0});
        assertRejected("invalid age", new long[] {1, -1, Long.MAX_VALUE, 0, 0});
    }

    /**
     * A corrupted report either fails with IOException or decodes to another report; no other exception may be thrown.
     */
    @Test
    void decodingCorruptedBytesThrowsOnlyIoException() {
        Random random = new Random(17);
        int rejected = 0;
        for (int i = 0; i < 4_000; i++) {
            byte[] bytes = bytes();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                assertThat(CrashReport.decode(bytes)).isNotNull();
            } catch (IOException e) {
                rejected++;
            }
        }
        assertThat(rejected).isPositive();
    }

    @Test
    void splitsLargeEvidenceIntoDatagramsWithoutLoss() throws Exception {
        Random random = new Random(23);
        for (int trial = 0; trial < 50; trial++) {
            List<Crash> crashes = IntStream.range(0, random.nextInt(40))
                    .mapToObj(i -> new Crash(i, Duration.ofMillis(i), suspects(random.nextInt(6))))
                    .toList();
            List<Clearance> clearances = IntStream.range(0, random.nextInt(200))
                    .mapToObj(i -> new Clearance("m/" + i, Duration.ofMillis(i)))
                    .toList();
            List<Crash> decodedCrashes = new ArrayList<>();
            List<Clearance> decodedClearances = new ArrayList<>();
            for (byte[] datagram : new CrashReport(1, 2, new CrashEvidence(crashes, clearances)).encode()) {
                assertThat(datagram.length).isLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
                CrashReport part = CrashReport.decode(datagram);
                assertThat(part.host()).isEqualTo(1);
                assertThat(part.incarnation()).isEqualTo(2);
                decodedCrashes.addAll(part.evidence().crashes());
                decodedClearances.addAll(part.evidence().clearances());
            }
            assertThat(decodedCrashes).isEqualTo(crashes);
            assertThat(decodedClearances).isEqualTo(clearances);
        }
    }

    @Test
    void doesNotSplitACrash() throws Exception {
        Crash crash = new Crash(1, Duration.ZERO, suspects(60));
        CrashReport report = new CrashReport(1, 2, new CrashEvidence(List.of(crash), List.of()));
        assertThat(CrashReport.decode(onlyDatagram(report))).isEqualTo(report);
    }

    /** Hosts of an earlier version log an unreadable report and go on. */
    @Test
    void isNoLoadReport() {
        assertThatThrownBy(() -> FleetReport.decode(bytes()))
                .isInstanceOf(IOException.class)
                .hasMessage("not a load report of a host");
    }

    private static Duration ageAfterDecoding(Duration age) throws IOException {
        CrashEvidence evidence =
                new CrashEvidence(List.of(new Crash(1, age, List.of())), List.of(new Clearance("m/a", age)));
        CrashEvidence decoded = CrashReport.decode(onlyDatagram(new CrashReport(1, 2, evidence)))
                .evidence();
        assertThat(decoded.clearances().get(0).age())
                .isEqualTo(decoded.crashes().get(0).age());
        return decoded.clearances().get(0).age();
    }

    /** Asserts that a report is rejected whose evidence begins with {@code fields}, of which -1 stands for a tag. */
    private static void assertRejected(String message, long[] fields) {
        byte[] bytes = ReportEncoding.encode(out -> {
            out.writeRawByte((byte) 0x63);
            out.writeFixed32NoTag(1);
            out.writeUInt64NoTag(2);
            for (long field : fields) {
                if (field == -1) {
                    out.writeFixed32NoTag(9);
                } else {
                    out.writeUInt64NoTag(field);
                }
            }
        });
        assertThatThrownBy(() -> CrashReport.decode(bytes))
                .as(Arrays.toString(fields))
                .isInstanceOf(IOException.class)
                .hasMessageContaining(message);
    }

    private static List<List<String>> suspects(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> List.of("model/" + "0123456789abcdef".repeat(2) + i, "model/shared"))
                .toList();
    }

    private static byte[] bytes() {
        return onlyDatagram(REPORT);
    }

    private static byte[] onlyDatagram(CrashReport report) {
        List<byte[]> datagrams = report.encode();
        assertThat(datagrams).hasSize(1);
        return datagrams.get(0);
    }
}
