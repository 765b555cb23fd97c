package org.toucanlane.gateway.telemetry;

import io.micrometer.core.instrument.Timer;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.MDC;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.dispatch.GatewayRequest;

/**
 * What is logged and measured of one request: one line when it ends, without content and without keys.
 *
 * <p>Used by one thread at a time; closing it more than once has no further effect.
 */
public final class RequestRecord implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger("toucanlane.request");
    private static final double NANOS_PER_MILLI = 1e6;

    private final RequestMetrics metrics;
    private final String requestId;
    private final long startedAt = System.nanoTime();
    private final Map<String, String> fields = new TreeMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private Optional<ErrorKind> failure = Optional.empty();
    private String account = "";
    private String service = "";
    private long lastPieceAt;
    private Timer gaps;

    RequestRecord(RequestMetrics metrics, String requestId) {
        this.metrics = metrics;
        this.requestId = requestId;
        fields.put("requestId", requestId);
    }

    /** Returns the request's id. */
    public String requestId() {
        return requestId;
    }

    /** Notes whose request it is and which route it takes. */
    public void describe(GatewayRequest request) {
        account = request.account().name();
        service = request.route().service();
        fields.put("account", account);
        fields.put("route", request.route().name());
        fields.put("method", request.method());
        fields.put("tokens", Long.toString(request.tokens()));
    }

    /** Notes that the head of the answer came from {@code dataCentre}. */
    public void headCame(String dataCentre) {
        fields.put("servedIn", dataCentre);
    }

    /** Notes a piece of the answer. */
    public void piece() {
        long now = System.nanoTime();
        if (lastPieceAt == 0) {
            metrics.firstPiece(account, now - startedAt);
            gaps = metrics.gaps(service);
        } else {
            gaps.record(now - lastPieceAt, TimeUnit.NANOSECONDS);
        }
        lastPieceAt = now;
    }

    /** Notes that the whole answer was passed on. */
    public void answered(int status) {
        fields.put("outcome", "answered");
        fields.put("status", Integer.toString(status));
    }

    /** Notes a refusal or a failure. */
    public void failed(RequestFailedException e) {
        failure = Optional.of(e.kind());
        fields.put("outcome", e.kind().code());
        fields.put("ran", e.kind().executionStatus().code());
        fields.put("status", Integer.toString(e.kind().status()));
        fields.put("reason", e.getMessage());
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        long nanos = System.nanoTime() - startedAt;
        if (!account.isEmpty()) {
            metrics.ended(account, nanos);
        }
        failure.ifPresent(metrics::failed);
        fields.put("millis", String.format("%.3f", nanos / NANOS_PER_MILLI));
        fields.forEach(MDC::put);
        try {
            if (failure.filter(ErrorKind::isFault).isPresent()) {
                LOG.warn("request failed");
            } else {
                LOG.info("request ended");
            }
        } finally {
            fields.keySet().forEach(MDC::remove);
        }
    }
}
