package org.toucanlane.edge.telemetry;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.toucanlane.edge.http.ResponseFault;
import org.toucanlane.edge.http.ResponseFaultListener;

/**
 * Logs and counts responses, and parts of them, that were not passed on because it was unclear which request they belonged
 * to.
 *
 * <p>Invariant: counts never decrease. Thread-safe.
 */
public final class ResponseFaultLog {

    /** Maximum length of the part of a response that is logged. */
    private static final int MAX_DETAIL_LENGTH = 200;

    private final DecisionLog log;
    private final Map<ResponseFault, LongAdder> counts = new EnumMap<>(ResponseFault.class);

    /** Creates a log without faults that writes to {@code log}. */
    public ResponseFaultLog(DecisionLog log) {
        this.log = log;
        Arrays.stream(ResponseFault.values()).forEach(fault -> counts.put(fault, new LongAdder()));
    }

    /** Returns a listener that records faults of the server {@code name}. */
    public ResponseFaultListener forServer(String name) {
        return (fault, exchange, detail) -> {
            counts.get(fault).increment();
            log.decision(
                    "response_rejected",
                    "upstream",
                    name,
                    "fault",
                    fault.code(),
                    "exchange",
                    exchange,
                    "cause",
                    detail.substring(0, Math.min(detail.length(), MAX_DETAIL_LENGTH)));
        };
    }

    /** Returns the number of faults of this kind. */
    public long count(ResponseFault fault) {
        return counts.get(fault).sum();
    }
}
