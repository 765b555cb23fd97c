package org.toucanlane.edge.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;

/**
 * One datagram between hosts. It may be lost or come late; each is complete in itself for what it names.
 *
 * <p>Immutable.
 *
 * @param header who tells it, and what it knows of the store
 * @param regions what it tells
 */
public record FleetReport(Header header, List<RegionReport> regions) {

    /** First byte of each report, so that other datagrams and other versions are told apart. */
    private static final int FORMAT_MARKER = 0x71;

    /** Steps of one in which slowness is told. */
    private static final double SLOWNESS_SCALE = 100;

    /** More entries than fit into the largest datagram. */
    private static final int MAX_ENTRIES = 65_536;

    /** Creates a report. */
    public FleetReport {
        regions = List.copyOf(regions);
    }

    /**
     * What begins a report.
     *
     * @param host tag of the sender
     * @param incarnation number of its process
     * @param round number of the sender's round, which an answer acknowledges
     * @param acknowledgedRound the newest round of the receiver that is counted in this report, or 0
     * @param aggregated whether this counts all hosts that the sender hears, not the sender alone
     * @param storeStatus what it knows of the store
     */
    public record Header(
            int host,
            long incarnation,
            long round,
            long acknowledgedRound,
            boolean aggregated,
            StoreStatus storeStatus) {}

    /** Returns the bytes of what is told of a region, which are the same for all receivers of a round. */
    public static byte[] encode(RegionReport region) {
        return encode(out -> write(out, region));
    }

    /** Returns a whole report, from a header and the bytes of regions. */
    public static byte[] encode(Header header, List<byte[]> regions) {
        return encode(out -> {
            out.writeRawByte((byte) FORMAT_MARKER);
            out.writeFixed32NoTag(header.host());
            out.writeUInt64NoTag(header.incarnation());
            out.writeUInt64NoTag(header.round());
            out.writeUInt64NoTag(header.acknowledgedRound());
            out.writeBoolNoTag(header.aggregated());
            out.writeUInt64NoTag(header.storeStatus().revision());
            out.writeSInt64NoTag(header.storeStatus().ageMillis());
            out.writeSInt64NoTag(header.storeStatus().recoveredMillis());
            out.writeUInt32NoTag(regions.size());
            for (byte[] region : regions) {
                out.writeRawBytes(region);
            }
        });
    }

    private static byte[] encode(Writer writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(1_024);
        try {
            CodedOutputStream out = CodedOutputStream.newInstance(bytes);
            writer.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("a byte array can always be written to", e);
        }
        return bytes.toByteArray();
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
            EndpointUsage load = entry.getValue();
            out.writeFixed32NoTag(entry.getKey());
            out.writeUInt32NoTag(Math.max(0, load.running()));
            out.writeUInt64NoTag(Math.max(0, load.pendingTokens()));
            out.writeUInt64NoTag(Math.max(0, load.usedTokens()));
            out.writeBoolNoTag(load.usable());
            out.writeUInt32NoTag((int) Math.round(load.slowness() * SLOWNESS_SCALE));
            out.writeUInt32NoTag(load.hosts());
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
            for (PromptSegment part : entry.getValue()) {
                out.writeStringNoTag(part.id());
                out.writeUInt64NoTag(part.tokens());
            }
        }
    }

    /**
     * Reads a report.
     *
     * @throws IOException if the bytes are none
     */
    public static FleetReport decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        if (bytes.length == 0 || (in.readRawByte() & 0xff) != FORMAT_MARKER) {
            throw new IOException("not a report of a host");
        }
        Header header = new Header(
                in.readFixed32(),
                in.readUInt64(),
                in.readUInt64(),
                in.readUInt64(),
                in.readBool(),
                new StoreStatus(in.readUInt64(), in.readSInt64(), in.readSInt64()));
        List<RegionReport> regions = new ArrayList<>();
        for (int left = readCount(in); left > 0; left--) {
            regions.add(readRegion(in));
        }
        if (!in.isAtEnd()) {
            throw new IOException("bytes after the end of a report");
        }
        return new FleetReport(header, regions);
    }

    private static RegionReport readRegion(CodedInputStream in) throws IOException {
        String region = in.readString();
        long ageMillis = in.readUInt64();
        boolean complete = in.readBool();
        Set<Integer> hosts = new HashSet<>();
        for (int left = readCount(in); left > 0; left--) {
            hosts.add(in.readFixed32());
        }
        Map<Integer, EndpointUsage> endpoints = new HashMap<>();
        for (int left = readCount(in); left > 0; left--) {
            endpoints.put(in.readFixed32(), readLoad(in));
        }
        Map<String, AccountUsage> uses = new HashMap<>();
        for (int left = readCount(in); left > 0; left--) {
            uses.put(in.readString(), new AccountUsage(in.readUInt64(), in.readSInt64()));
        }
        Map<Integer, List<PromptSegment>> cached = new HashMap<>();
        for (int left = readCount(in); left > 0; left--) {
            cached.put(in.readFixed32(), readSegments(in));
        }
        return new RegionReport(region, ageMillis, complete, hosts, endpoints, uses, cached);
    }

    private static EndpointUsage readLoad(CodedInputStream in) throws IOException {
        return new EndpointUsage(
                in.readUInt32(),
                in.readUInt64(),
                in.readUInt64(),
                in.readBool(),
                in.readUInt32() / SLOWNESS_SCALE,
                in.readUInt32());
    }

    private static List<PromptSegment> readSegments(CodedInputStream in) throws IOException {
        List<PromptSegment> parts = new ArrayList<>();
        for (int left = readCount(in); left > 0; left--) {
            parts.add(new PromptSegment(in.readString(), in.readUInt64()));
        }
        return parts;
    }

    /** Reads a number of entries. */
    private static int readCount(CodedInputStream in) throws IOException {
        int count = in.readUInt32();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException("not a number of entries: " + count);
        }
        return count;
    }

    /** Writes a part of a report. */
    private interface Writer {
        void write(CodedOutputStream out) throws IOException;
    }
}
