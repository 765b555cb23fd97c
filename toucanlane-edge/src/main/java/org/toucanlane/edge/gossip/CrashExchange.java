package org.toucanlane.edge.gossip;

import com.google.common.collect.Sets;
import java.util.List;
import java.util.Set;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.quarantine.CrashEvidence;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * Exchanges evidence of crashes between the quarantines of hosts, and logs which segments enter and leave this host's.
 *
 * <p>Evidence takes the routes of load reports. A relay needs no list of what to pass on, because its quarantine returns
 * the evidence that it has merged along with its own. Invariant: the evidence of a round is taken from the quarantine
 * once, however many hosts receive it. Not thread-safe: confined to one event loop.
 */
final class CrashExchange {

    /** Maximum size of a datagram; a receiver truncates a larger one. */
    static final int MAX_DATAGRAM_BYTES = 16_384;

    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final SegmentQuarantine quarantine;
    private Set<String> quarantined = Set.of();

    CrashExchange(Fleet fleet, DecisionLog log, HostRecord self, SegmentQuarantine quarantine) {
        this.fleet = fleet;
        this.log = log;
        this.self = self;
        this.quarantine = quarantine;
    }

    /** Returns the datagrams to send to each receiver in this round; there are none while there is no evidence. */
    List<byte[]> nextDatagrams(long now) {
        CrashEvidence evidence = quarantine.nextEvidence(now);
        if (evidence.isEmpty()) {
            return List.of();
        }
        return new CrashReport(HostHandle.tagOf(self.name()), self.incarnation(), evidence)
                .encode().stream().filter(this::fitsIntoDatagram).toList();
    }

    private boolean fitsIntoDatagram(byte[] bytes) {
        boolean fits = bytes.length <= MAX_DATAGRAM_BYTES;
        if (!fits) {
            log.stateChange("crash_report_too_large", "bytes", bytes.length);
        }
        return fits;
    }

    /** Merges a report, unless its sender is unknown or has been replaced by a later process. */
    void receive(CrashReport report, long now) {
        fleet.hostByTag(report.host())
                .filter(host -> host.entry().incarnation() == report.incarnation())
                .ifPresent(host -> quarantine.merge(report.evidence(), now));
    }

    /** Logs the segments that have entered or left the quarantine since the last call. */
    void logChanges(long now) {
        Set<String> current = Set.copyOf(quarantine.quarantined(now));
        if (!current.equals(quarantined)) {
            Sets.difference(current, quarantined).forEach(id -> log.stateChange("segment_quarantined", "segment", id));
            Sets.difference(quarantined, current).forEach(id -> log.stateChange("segment_released", "segment", id));
            quarantined = current;
        }
    }
}
