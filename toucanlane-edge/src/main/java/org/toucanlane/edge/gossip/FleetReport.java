package org.toucanlane.edge.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;
import org.toucanlane.policy.capacity.SpeedEstimate;

/**
 * The content of one datagram between hosts. Datagrams may be lost or delayed, so each one is self-contained.
 *
 * <p>Immutable.
 *
 * @param header the sender and its store status
 * @param regions the reported data by region
 */
public record FleetReport(Header header, List<RegionReport> regions) {

    /** First byte of each report; distinguishes it from other datagrams and other format versions. */
    private static final int FORMAT_MARKER = 0x72;

    /** Fixed-point scale of the slowness on the wire. */
    private static final double SLOWNESS_SCALE = 100;

    /** Logarithmic step of a measured speed on the wire; below the error of a measurement. */
    private static final double SPEED_STEP = 0.025;

    /** Number of steps of a measured speed on the wire, half of them below 1. */
    private static final int SPEED_STEPS = 256;

    /** Largest number of samples on the wire; keeps the number within three bytes. */
    private static final int MAX_SPEED_SAMPLES = 4_095;

    /** Copies the regions. */
    public FleetReport {
        regions = List.copyOf(regions);
    }

    /**
     * The header of a report.
     *
     * @param host tag of the sender
     * @param incarnation incarnation of the sender's process
     * @param round number of the sender's round, which the receiver acknowledges
     * @param acknowledgedRound the newest round of the receiver that this report includes, or 0
     * @param aggregated whether the report covers all hosts from which the sender has reports, rather than the sender
     *     alone
     * @param storeStatus the sender's store status
     * @param configurationVersion newest configuration version that the sender knows to be in force on any host
     */
    public record Header(
            int host,
            long incarnation,
            long round,
            long acknowledgedRound,
            boolean aggregated,
            StoreStatus storeStatus,
            long configurationVersion) {}

    /** Encodes the report of a region, which is the same for all receivers of a round. */
    public static byte[] encode(RegionReport region) {
        return ReportEncoding.encode(out -> write(out, region));
    }

    /** Encodes a report from its header and its encoded regions. */
    public static byte[] encode(Header header, List<byte[]> regions) {
        return ReportEncoding.encode(out -> {
            out.writeRawByte((byte) FORMAT_MARKER);
            out.writeFixed32NoTag(header.host());
            out.writeUInt64NoTag(header.incarnation());
            out.writeUInt64NoTag(header.round());
            out.writeUInt64NoTag(header.acknowledgedRound());
            out.writeBoolNoTag(header.aggregated());
            out.writeSInt64NoTag(header.storeStatus().revision().era());
            out.writeUInt64NoTag(header.storeStatus().revision().number());
            out.writeSInt64NoTag(header.storeStatus().ageMillis());
            out.writeSInt64NoTag(header.storeStatus().recoveredMillis());
            out.writeUInt64NoTag(header.configurationVersion());
            out.writeUInt32NoTag(regions.size());
            for (byte[] region : regions) {
                out.writeRawBytes(region);
            }
        });
    }

    private static void write(CodedOutputStream out, RegionReport region) throws IOException {
        out.writeStringNoTag(region.region());
        out.writeUInt64NoTag(Math.max(0, region.ageMillis()));
        out.writeBoolNoTag(region.includesSummary());
        out.writeUInt32NoTag(region.hosts().size());
        for (int host : region.hosts()) {
            out.writeFixed32NoTag(host);
        }
        out.writeUInt32NoTag(region.endpoints().size());
        for (Map.Entry<Integer, EndpointUsage> entry : region.endpoints().entrySet()) {
            EndpointUsage usage = entry.getValue();
            out.writeFixed32NoTag(entry.getKey());
            out.writeUInt32NoTag(Math.max(0, usage.running()));
            out.writeUInt64NoTag(Math.max(0, usage.pendingTokens()));
            out.writeUInt64NoTag(Math.max(0, usage.usedTokens()));
            out.writeUInt32NoTag(usage.usable() ? 1 + speedCode(usage.speed()) : 0);
            out.writeUInt32NoTag((int) Math.round(usage.slowness() * SLOWNESS_SCALE));
            out.writeUInt32NoTag(usage.hosts());
        }
        out.writeUInt32NoTag(region.accountUsage().size());
        for (Map.Entry<String, AccountUsage> entry : region.accountUsage().entrySet()) {
            out.writeStringNoTag(entry.getKey());
            out.writeUInt64NoTag(Math.round(entry.getValue().demand()));
            out.writeSInt64NoTag(Math.round(entry.getValue().level()));
        }
        out.writeUInt32NoTag(region.cachedSegments().size());
        for (Map.Entry<Integer, List<PromptSegment>> entry :
                region.cachedSegments().entrySet()) {
            out.writeFixed32NoTag(entry.getKey());
            out.writeUInt32NoTag(entry.getValue().size());
            for (PromptSegment segment : entry.getValue()) {
                out.writeStringNoTag(segment.id());
                out.writeUInt64NoTag(segment.tokens());
            }
        }
    }

    /**
     * Decodes a report.
     *
     * @throws IOException if the bytes are not a valid report
     */
    public static FleetReport decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        if (bytes.length == 0 || (in.readRawByte() & 0xff) != FORMAT_MARKER) {
            throw new IOException("not a load report of a host");
        }
        Header header = new Header(
                in.readFixed32(),
                in.readUInt64(),
                in.readUInt64(),
                in.readUInt64(),
                in.readBool(),
                new StoreStatus(new StoreRevision(in.readSInt64(), in.readUInt64()), in.readSInt64(), in.readSInt64()),
                in.readUInt64());
        List<RegionReport> regions = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            regions.add(readRegion(in));
        }
        ReportEncoding.checkEnd(in);
        return new FleetReport(header, regions);
    }

    private static RegionReport readRegion(CodedInputStream in) throws IOException {
        String region = in.readString();
        long ageMillis = in.readUInt64();
        boolean includesSummary = in.readBool();
        Set<Integer> hosts = new HashSet<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            hosts.add(in.readFixed32());
        }
        Map<Integer, EndpointUsage> endpoints = new HashMap<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            endpoints.put(in.readFixed32(), readUsage(in));
        }
        Map<String, AccountUsage> accountUsage = new HashMap<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            accountUsage.put(in.readString(), new AccountUsage(in.readUInt64(), in.readSInt64()));
        }
        Map<Integer, List<PromptSegment>> cachedSegments = new HashMap<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            cachedSegments.put(in.readFixed32(), readSegments(in));
        }
        return new RegionReport(region, ageMillis, includesSummary, hosts, endpoints, accountUsage, cachedSegments);
    }

    private static EndpointUsage readUsage(CodedInputStream in) throws IOException {
        int running = in.readUInt32();
        long pendingTokens = in.readUInt64();
        long usedTokens = in.readUInt64();
        int state = in.readUInt32();
        return new EndpointUsage(
                running,
                pendingTokens,
                usedTokens,
                state != 0,
                in.readUInt32() / SLOWNESS_SCALE,
                in.readUInt32(),
                state > 1 ? speedOf(state - 1) : SpeedEstimate.NONE);
    }

    /**
     * Returns the speed as a number that follows the usable state in one variable-length integer, 0 if nothing was
     * measured. An older host reads any number but 0 as usable.
     */
    private static int speedCode(SpeedEstimate speed) {
        if (!speed.isKnown()) {
            return 0;
        }
        long step = Math.round(Math.log(speed.slowness()) / SPEED_STEP) + SPEED_STEPS / 2;
        int bounded = (int) Math.max(0, Math.min(SPEED_STEPS - 1, step));
        return Math.min(speed.samples(), MAX_SPEED_SAMPLES) * SPEED_STEPS + bounded;
    }

    private static SpeedEstimate speedOf(int code) {
        int samples = Math.min(code / SPEED_STEPS, MAX_SPEED_SAMPLES);
        double slowness = Math.exp((code % SPEED_STEPS - SPEED_STEPS / 2) * SPEED_STEP);
        return samples == 0 ? SpeedEstimate.NONE : new SpeedEstimate(slowness, samples);
    }

    private static List<PromptSegment> readSegments(CodedInputStream in) throws IOException {
        List<PromptSegment> segments = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            segments.add(new PromptSegment(in.readString(), in.readUInt64()));
        }
        return segments;
    }
}
