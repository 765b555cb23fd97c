package org.toucanlane.gateway.telemetry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.toucanlane.domain.outcome.ErrorKind;

/**
 * Histograms and counters for requests.
 *
 * <p>The time to the first chunk of the response and the total time are recorded per client account, the queueing time
 * and the gaps between chunks per service. All use the fixed buckets below, which gives at most
 * {@code (2 * accounts + 2 * services) * (buckets + 3)} series. Thread-safe.
 */
@Singleton
public final class RequestMetrics {

    private static final Duration[] BUCKETS = {
        Duration.ofMillis(1),
        Duration.ofMillis(5),
        Duration.ofMillis(20),
        Duration.ofMillis(73),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(820),
        Duration.ofMillis(2000),
        Duration.ofSeconds(5),
        Duration.ofSeconds(20),
        Duration.ofSeconds(60)
    };

    private final MeterRegistry registry;

    /** Creates metrics that are registered in {@code registry}. */
    @Inject
    public RequestMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Returns a record for a new request. */
    public RequestRecord newRecord(String requestId) {
        return new RequestRecord(this, requestId);
    }

    private Timer timer(String name, String tag, String value) {
        return Timer.builder(name)
                .tag(tag, value)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    /** Records how long a request was queued. */
    public void recordQueueTime(String service, long nanos) {
        timer("toucanlane.queue", "service", service).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Records a retry. */
    public void recordRetry(String service) {
        Counter.builder("toucanlane.retries")
                .tag("service", service)
                .register(registry)
                .increment();
    }

    void recordFirstChunk(String account, long nanos) {
        timer("toucanlane.first.piece", "account", account).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Returns the timer for the gaps between chunks, so that it is looked up once per request instead of per chunk. */
    Timer chunkGapTimer(String service) {
        return timer("toucanlane.piece.gap", "service", service);
    }

    void recordDuration(String account, long nanos) {
        timer("toucanlane.request", "account", account).record(nanos, TimeUnit.NANOSECONDS);
    }

    void recordFailure(ErrorKind kind) {
        Counter.builder("toucanlane.failures")
                .tag("kind", kind.code())
                .tag("ran", kind.executionStatus().code())
                .register(registry)
                .increment();
    }
}
