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
 * Histograms and counters of requests.
 *
 * <p>Times to the first piece and to the last are kept per client account, queueing and gaps between pieces per service,
 * each with the fixed buckets below: at most {@code (2 * accounts + 2 * services) * (buckets + 3)} series. Thread-safe.
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

    /** Creates metrics in {@code registry}. */
    @Inject
    public RequestMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Returns the record of a request that has just come. */
    public RequestRecord begin(String requestId) {
        return new RequestRecord(this, requestId);
    }

    private Timer timer(String name, String tag, String value) {
        return Timer.builder(name)
                .tag(tag, value)
                .serviceLevelObjectives(BUCKETS)
                .register(registry);
    }

    /** Notes how long a request waited for a place. */
    public void queued(String service, long nanos) {
        timer("toucanlane.queue", "service", service).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Notes a repeat. */
    public void retried(String service) {
        Counter.builder("toucanlane.retries")
                .tag("service", service)
                .register(registry)
                .increment();
    }

    void firstPiece(String account, long nanos) {
        timer("toucanlane.first.piece", "account", account).record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Returns the timer of the gaps between pieces, so that it is looked up once a request and not once a piece. */
    Timer gaps(String service) {
        return timer("toucanlane.piece.gap", "service", service);
    }

    void ended(String account, long nanos) {
        timer("toucanlane.request", "account", account).record(nanos, TimeUnit.NANOSECONDS);
    }

    void failed(ErrorKind kind) {
        Counter.builder("toucanlane.failures")
                .tag("kind", kind.code())
                .tag("ran", kind.executionStatus().code())
                .register(registry)
                .increment();
    }
}
