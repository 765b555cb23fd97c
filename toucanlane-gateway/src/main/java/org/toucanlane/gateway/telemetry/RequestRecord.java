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
 * Collects the log fields and metrics of a request. Writes one log line at its end, without content and API keys.
 *
 * <p>May be used by only one thread at a time. Closing it again has no effect.
 */
public final class RequestRecord implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger("toucanlane.request");
    private static final double NANOS_PER_MILLI = 1e6;

    private final RequestMetrics metrics;
    private final String requestId;
    private final long startNanos = System.nanoTime();
    private final Map<String, String> logFields = new TreeMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private Optional<ErrorKind> failure = Optional.empty();
    private String account = "";
    private String service = "";
    private long lastChunkNanos;
    private Timer chunkGaps;

    RequestRecord(RequestMetrics metrics, String requestId) {
        this.metrics = metrics;
        this.requestId = requestId;
        logFields.put("requestId", requestId);
    }

    /** Returns the request id. */
    public String requestId() {
        return requestId;
    }

    /** Records the account, route, method and tokens of the request. */
    public void setRequest(GatewayRequest request) {
        account = request.account().name();
        service = request.route().service();
        logFields.put("account", account);
        logFields.put("route", request.route().name());
        logFields.put("method", request.method());
        logFields.put("tokens", Long.toString(request.tokens()));
    }

    /** Records that the head of the response was received from {@code dataCentre}. */
    public void setServingDataCentre(String dataCentre) {
        logFields.put("servedIn", dataCentre);
    }

    /** Records a chunk of the response. */
    public void recordChunk() {
        long now = System.nanoTime();
        if (lastChunkNanos == 0) {
            metrics.recordFirstChunk(account, now - startNanos);
            chunkGaps = metrics.chunkGapTimer(service);
        } else {
            chunkGaps.record(now - lastChunkNanos, TimeUnit.NANOSECONDS);
        }
        lastChunkNanos = now;
    }

    /** Records that the complete response was sent to the caller. */
    public void recordResponse(int status) {
        logFields.put("outcome", "answered");
        logFields.put("status", Integer.toString(status));
    }

    /** Records that the request was rejected or failed. */
    public void recordFailure(RequestFailedException e) {
        failure = Optional.of(e.kind());
        logFields.put("outcome", e.kind().code());
        logFields.put("ran", e.kind().executionStatus().code());
        logFields.put("status", Integer.toString(e.kind().status()));
        logFields.put("reason", e.getMessage());
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        long nanos = System.nanoTime() - startNanos;
        if (!account.isEmpty()) {
            metrics.recordDuration(account, nanos);
        }
        failure.ifPresent(metrics::recordFailure);
        logFields.put("millis", String.format("%.3f", nanos / NANOS_PER_MILLI));
        logFields.forEach(MDC::put);
        try {
            if (failure.filter(ErrorKind::isFault).isPresent()) {
                LOG.warn("request failed");
            } else {
                LOG.info("request ended");
            }
        } finally {
            logFields.keySet().forEach(MDC::remove);
        }
    }
}
