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
            out.writeBoolNoTag(usage.usable());
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
        return new EndpointUsage(
                in.readUInt32(),
                in.readUInt64(),
                in.readUInt64(),
                in.readBool(),
                in.readUInt32() / SLOWNESS_SCALE,
                in.readUInt32());
    }

    private static List<PromptSegment> readSegments(CodedInputStream in) throws IOException {
        List<PromptSegment> segments = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            segments.add(new PromptSegment(in.readString(), in.readUInt64()));
        }
        return segments;
    }
}
