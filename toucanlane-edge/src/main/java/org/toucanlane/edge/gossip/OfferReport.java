package org.toucanlane.edge.gossip;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.toucanlane.policy.offer.ServiceOffer;

/**
 * One datagram with the demand of a host, or with the offers of regions.
 *
 * <p>It is separate from {@link FleetReport}, whose format hosts of an earlier version read. Immutable.
 *
 * @param host tag of the sender
 * @param incarnation incarnation of the sender's process
 * @param aggregated whether the report has the offers of whole regions, rather than the demand of the sender alone
 * @param regions the reported data by region
 */
record OfferReport(int host, long incarnation, boolean aggregated, List<Region> regions) {

    /** First byte of each report; distinguishes it from other datagrams. */
    private static final int FORMAT_MARKER = 0x6f;

    /** Fixed-point scale of the requests per second on the wire. */
    private static final double RATE_SCALE = 10;

    /** Copies the regions. */
    OfferReport {
        regions = List.copyOf(regions);
    }

    /** Returns whether a datagram is a report of offers. */
    static boolean isOfferReport(byte[] bytes) {
        return bytes.length > 0 && (bytes[0] & 0xff) == FORMAT_MARKER;
    }

    /** Returns the encoded report. */
    byte[] encode() {
        return ReportEncoding.encode(out -> {
            out.writeRawByte((byte) FORMAT_MARKER);
            out.writeFixed32NoTag(host);
            out.writeUInt64NoTag(incarnation);
            out.writeBoolNoTag(aggregated);
            out.writeUInt32NoTag(regions.size());
            for (Region region : regions) {
                write(out, region);
            }
        });
    }

    private static void write(CodedOutputStream out, Region region) throws IOException {
        out.writeStringNoTag(region.name());
        out.writeUInt64NoTag(Math.max(0, region.ageMillis()));
        out.writeUInt32NoTag(region.offers().size());
        for (Map.Entry<Integer, ServiceOffer> entry : region.offers().entrySet()) {
            ServiceOffer offer = entry.getValue();
            out.writeFixed32NoTag(entry.getKey());
            out.writeUInt64NoTag(Math.round(offer.demand().requestsPerSecond() * RATE_SCALE));
            out.writeUInt64NoTag(Math.round(offer.demand().tokensPerSecond()));
            out.writeUInt32NoTag(offer.places());
            out.writeUInt64NoTag(offer.tokens());
            out.writeUInt32NoTag(offer.turn());
        }
    }

    /**
     * Decodes a report.
     *
     * @throws IOException if the bytes are not a valid report
     */
    static OfferReport decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        if (!isOfferReport(bytes)) {
            throw new IOException("not a report of offers");
        }
        in.readRawByte();
        int host = in.readFixed32();
        long incarnation = in.readUInt64();
        boolean aggregated = in.readBool();
        List<Region> regions = new ArrayList<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            regions.add(readRegion(in));
        }
        ReportEncoding.checkEnd(in);
        return new OfferReport(host, incarnation, aggregated, regions);
    }

    private static Region readRegion(CodedInputStream in) throws IOException {
        String name = in.readString();
        long ageMillis = readNonNegative(in);
        Map<Integer, ServiceOffer> offers = new HashMap<>();
        for (int remaining = ReportEncoding.readCount(in); remaining > 0; remaining--) {
            int service = in.readFixed32();
            ServiceOffer.Demand demand = new ServiceOffer.Demand(readNonNegative(in) / RATE_SCALE, readNonNegative(in));
            offers.put(
                    service,
                    new ServiceOffer(demand, readNonNegativeInt(in), readNonNegative(in), readNonNegativeInt(in)));
        }
        return new Region(name, ageMillis, offers);
    }

    private static long readNonNegative(CodedInputStream in) throws IOException {
        long value = in.readUInt64();
        if (value < 0) {
            throw new IOException("negative value in a report of offers: " + value);
        }
        return value;
    }

    private static int readNonNegativeInt(CodedInputStream in) throws IOException {
        long value = readNonNegative(in);
        if (value > Integer.MAX_VALUE) {
            throw new IOException("value in a report of offers exceeds 32 bits: " + value);
        }
        return (int) value;
    }

    /**
     * The data of one region.
     *
     * @param name name of the region
     * @param ageMillis time since the offers were made
     * @param offers offers by the tag of the service
     */
    record Region(String name, long ageMillis, Map<Integer, ServiceOffer> offers) {

        /** Copies the offers. */
        Region {
            offers = Map.copyOf(offers);
        }
    }
}
