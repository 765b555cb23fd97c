package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.toucanlane.edge.fleet.EndpointUsage;

/** Splits load reports so that they fit into datagrams. Stateless and thread-safe. */
final class ReportPacking {

    /** Maximum size of the regions in one datagram, so that it fits into an Ethernet frame. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;

    /** Maximum number of endpoints in one part of a report; a part is never split further. */
    private static final int MAX_ENDPOINTS_PER_PART = 40;

    private ReportPacking() {}

    /** Splits a report into parts that each fit into a datagram. */
    static List<RegionReport> split(RegionReport fullReport) {
        List<RegionReport> parts = new ArrayList<>();
        List<Map.Entry<Integer, EndpointUsage>> endpoints =
                List.copyOf(fullReport.endpoints().entrySet());
        int from = 0;
        do {
            Map<Integer, EndpointUsage> batch = endpoints.stream()
                    .skip(from)
                    .limit(MAX_ENDPOINTS_PER_PART)
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            boolean first = from == 0;
            parts.add(new RegionReport(
                    fullReport.region(),
                    fullReport.ageMillis(),
                    first,
                    first ? fullReport.hosts() : Set.of(),
                    batch,
                    first ? fullReport.accountUsage() : Map.of(),
                    first ? fullReport.cachedSegments() : Map.of()));
            from += MAX_ENDPOINTS_PER_PART;
        } while (from < endpoints.size());
        return parts;
    }

    /** Encodes {@code parts} and packs them in order into datagrams, without headers. */
    static List<List<byte[]>> pack(List<RegionReport> parts) {
        List<List<byte[]>> datagrams = new ArrayList<>();
        int bytes = 0;
        for (RegionReport part : parts) {
            byte[] encoded = FleetReport.encode(part);
            if (datagrams.isEmpty() || bytes + encoded.length > MAX_DATAGRAM_BYTES) {
                datagrams.add(new ArrayList<>());
                bytes = 0;
            }
            datagrams.get(datagrams.size() - 1).add(encoded);
            bytes += encoded.length;
        }
        return datagrams;
    }
}
