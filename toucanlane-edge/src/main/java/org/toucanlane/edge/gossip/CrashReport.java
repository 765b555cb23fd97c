package org.toucanlane.edge.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.toucanlane.policy.quarantine.CrashEvidence;

/**
 * The content of one datagram with evidence of crashes. It is a message of its own, rather than a part of {@link
 * FleetReport}, because hosts of an earlier version reject reports with additional data.
 *
 * <p>Immutable.
 *
 * @param host tag of the sender
 * @param incarnation incarnation of the sender's process
 * @param evidence the evidence, whose ages are whole milliseconds after decoding
 */
record CrashReport(int host, long incarnation, CrashEvidence evidence) {

    /** First byte of each crash report; distinguishes it from other datagrams and other format versions. */
    private static final int FORMAT_MARKER = 0x63;

    /** Size above which evidence is split, so that a datagram fits into an Ethernet frame. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;

    /** Maximum age on the wire. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    /** Returns whether the bytes are meant to be a crash report. */
    static boolean isCrashReport(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] & 0xff) == FORMAT_MARKER;
    }

    /** Encodes the report into one or more datagrams. A single crash is never split, so a datagram can be larger. */
    List<byte[]> encode() {
        byte[] whole = ReportEncoding.encode(this::write);
        int crashes = evidence.crashes().size();
        int clearances = evidence.clearances().size();
        if (whole.length <= MAX_DATAGRAM_BYTES || crashes + clearances <= 1) {
            return List.of(whole);
        }
        // Rounds in opposite directions, so that both halves get an entry.
        int crashHalf = crashes / 2;
        int clearanceHalf = (clearances + 1) / 2;
        CrashEvidence first = new CrashEvidence(
                evidence.crashes().subList(0, crashHalf), evidence.clearances().subList(0, clearanceHalf));
        CrashEvidence second = new CrashEvidence(
                evidence.crashes().subList(crashHalf, crashes),
                evidence.clearances().subList(clearanceHalf, clearances));
        return Stream.of(first, second)
                .flatMap(half -> new CrashReport(host, incarnation, half).encode().stream())
                .toList();
    }

    private void write(CodedOutputStream out) throws IOException {
        out.writeRawByte((byte) FORMAT_MARKER);
        out.writeFixed32NoTag(host);
        out.writeUInt64NoTag(incarnation);
        out.writeUInt32NoTag(evidence.crashes().size());
        for (CrashEvidence.Crash crash : evidence.crashes()) {
            out.writeFixed32NoTag(crash.endpoint());
            writeAge(out, crash.age());
            out.writeUInt32NoTag(crash.suspects().size());
            for (List<String> segments : crash.suspects()) {
                out.writeUInt32NoTag(segments.size());
                for (String segment : segments) {
                    out.writeStringNoTag(segment);
                }
            }
        }
        out.writeUInt32NoTag(evidence.clearances().size());
        for (CrashEvidence.Clearance clearance : evidence.clearances()) {
            out.writeStringNoTag(clearance.segment());
            writeAge(out, clearance.age());
        }
    }

    /**
     * Decodes a report.
     *
     * @throws IOException if the bytes are not a valid report
     */
    static CrashReport decode(byte[] bytes) throws IOException {
        if (!isCrashReport(bytes)) {
            throw new IOException("not a crash report of a host");
        }
        CodedInputStream in = CodedInputStream.newInstance(bytes, 1, bytes.length - 1);
        int host = in.readFixed32();
        long incarnation = in.readUInt64();
        List<CrashEvidence.Crash> crashes = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            crashes.add(new CrashEvidence.Crash(in.readFixed32(), readAge(in), readSuspects(in)));
        }
        List<CrashEvidence.Clearance> clearances = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            clearances.add(new CrashEvidence.Clearance(in.readString(), readAge(in)));
        }
        ReportEncoding.checkEnd(in);
        return new CrashReport(host, incarnation, new CrashEvidence(crashes, clearances));
    }

    private static List<List<String>> readSuspects(CodedInputStream in) throws IOException {
        List<List<String>> suspects = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            List<String> segments = new ArrayList<>();
            for (int left = ReportEncoding.readCount(in); left > 0; left--) {
                segments.add(in.readString());
            }
            suspects.add(segments);
        }
        return suspects;
    }

    /** Rounds down, because hosts keep the earliest time of a crash, which would otherwise move back with each pass. */
    private static void writeAge(CodedOutputStream out, Duration age) throws IOException {
        out.writeUInt64NoTag(Math.max(0, Math.min(age.toMillis(), MAX_AGE.toMillis())));
    }

    private static Duration readAge(CodedInputStream in) throws IOException {
        long millis = in.readUInt64();
        if (millis < 0 || millis > MAX_AGE.toMillis()) {
            throw new IOException("invalid age in ms: " + millis);
        }
        return Duration.ofMillis(millis);
    }
}
