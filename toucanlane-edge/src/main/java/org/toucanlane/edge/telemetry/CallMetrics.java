package org.toucanlane.edge.telemetry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.toucanlane.domain.outcome.ErrorKind;

/**
 * Counters and histograms of a host's requests, exposed in the Prometheus text format.
 *
 * <p>The number of series is bounded: the first {@value #MAX_ROUTES} routes and the first {@value #MAX_ACCOUNTS}
 * accounts seen since the start have their own series, and all later ones share one. Not thread-safe, except for the
 * registry itself; confined to the host's event loop.
 */
public final class CallMetrics {

    /** Maximum number of routes with their own series; several times as many as deployments have. */
    static final int MAX_ROUTES = 128;

    /**
     * Maximum number of accounts with their own series, as many as one host sees; a bucket takes some hundred bytes.
     */
    static final int MAX_ACCOUNTS = 256;

    private static final String OVERFLOW_TAG = "(others)";

    /** Upper bounds of the latency buckets: around the usual latency objectives, 20 ms to 1 s, and beyond. */
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(20),
        Duration.ofMillis(73),
        Duration.ofMillis(150),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofMillis(820),
        Duration.ofMillis(1_500),
        Duration.ofSeconds(3),
        Duration.ofSeconds(10)
    };

    /** Upper bounds of the buckets for the ratio of observed to expected time. */
    private static final double[] RATIO_BUCKETS = {0.25, 0.5, 0.8, 1.25, 2, 4, 8};

    private static final double MICROS_PER_MILLI = 1_000;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Timer> firstByteByRoute = new HashMap<>();
    private final Map<String, Timer> firstByteByAccount = new HashMap<>();
    private final Map<String, Timer> totalTimeByRoute = new HashMap<>();
    private final Map<String, Timer> totalTimeByAccount = new HashMap<>();
    private final Map<String, Timer> streamGapByRoute = new HashMap<>();
    private final Map<String, Timer> queueTimeByService = new HashMap<>();
    private final Map<String, DistributionSummary> estimateRatioByService = new HashMap<>();
    private final Map<ErrorKind, Counter> refusalsByKind = new EnumMap<>(ErrorKind.class);
    private final Map<String, Supplier<Number>> waitingByService = new HashMap<>();
    private final Map<String, Counter> retriesByService = new HashMap<>();

    /** Records the time until a response began. */
    public void recordTimeToFirstByte(String route, String account, double millis) {
        recordMillis(timer(firstByteByRoute, "toucanlane.first", "route", route, MAX_ROUTES), millis);
        recordMillis(timer(firstByteByAccount, "toucanlane.account.first", "account", account, MAX_ACCOUNTS), millis);
    }

    /** Records the time between two consecutive parts of a stream. */
    public void recordStreamGap(String route, double millis) {
        recordMillis(timer(streamGapByRoute, "toucanlane.gap", "route", route, MAX_ROUTES), millis);
    }

    /** Records the time until a response was complete. */
    public void recordTotalTime(String route, String account, double millis) {
        recordMillis(timer(totalTimeByRoute, "toucanlane.whole", "route", route, MAX_ROUTES), millis);
        recordMillis(timer(totalTimeByAccount, "toucanlane.account.whole", "account", account, MAX_ACCOUNTS), millis);
    }

    /** Records the expected time that a request waits behind others at its endpoint. */
    public void recordExpectedQueueTime(String service, double millis) {
        recordMillis(timer(queueTimeByService, "toucanlane.queue", "service", service, MAX_ROUTES), millis);
    }

    /** Records the ratio of the observed to the expected time until an endpoint's response began. */
    public void recordEstimateRatio(String service, double expectedMillis, double observedMillis) {
        estimateRatioByService
                .computeIfAbsent(
                        boundedTag(estimateRatioByService, service, MAX_ROUTES),
                        name -> DistributionSummary.builder("toucanlane.estimate.ratio")
                                .description("observed time to the first answer, as a multiple of the expected one")
                                .tag("service", name)
                                .serviceLevelObjectives(RATIO_BUCKETS)
                                .register(registry))
                .record(observedMillis / Math.max(1, expectedMillis));
    }

    /** Counts a request that this host itself answered with an error. */
    public void recordRefusal(ErrorKind kind) {
        refusalsByKind
                .computeIfAbsent(
                        kind,
                        key -> Counter.builder("toucanlane.refusals")
                                .tag("kind", key.code())
                                .tag("ran", key.executionStatus().code())
                                .register(registry))
                .increment();
    }

    /** Counts a retry of a request. */
    public void recordRetry(String service) {
        retriesByService
                .computeIfAbsent(
                        service,
                        key -> Counter.builder("toucanlane.repeats")
                                .tag("service", key)
                                .register(registry))
                .increment();
    }

    /** Registers the number of requests of {@code service} that wait at this host, read at each scrape. */
    public void registerWaiting(String service, Supplier<Number> value) {
        String tag = boundedTag(waitingByService, service, MAX_ROUTES);
        if (waitingByService.putIfAbsent(tag, value) == null) {
            Gauge.builder("toucanlane.waiting", value)
                    .description("requests that wait at this host until an endpoint has room")
                    .tag("service", tag)
                    .register(registry);
        }
    }

    /** Records that a request no longer waits at this host. */
    public void recordWaited(String service, String reason, double millis) {
        recordMillis(
                Timer.builder("toucanlane.waited")
                        .description("time for which a request waited at this host until an endpoint had room")
                        .tag("service", boundedTag(waitingByService, service, MAX_ROUTES))
                        .tag("reason", reason)
                        .register(registry),
                millis);
    }

    /** Records the time for which an attempt and its alternative were both in progress. */
    public void recordAlternative(String service, String result, long nanos) {
        Timer.builder("toucanlane.alternative")
                .description("time for which a silent attempt and its alternative were both in progress")
                .tag("service", service)
                .tag("result", result)
                .register(registry)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void registerGauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /** Registers a counter whose value is read at each scrape. */
    public void registerCounter(String name, String tag, String tagValue, Supplier<Number> value) {
        // The registry holds its second argument weakly.
        FunctionCounter.builder(name, this, metrics -> value.get().doubleValue())
                .tag(tag, tagValue)
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer timer(Map<String, Timer> timers, String name, String tag, String value, int limit) {
        Timer timer = timers.get(value);
        return timer != null
                ? timer
                : timers.computeIfAbsent(
                        boundedTag(timers, value, limit),
                        key -> Timer.builder(name)
                                .tag(tag, key)
                                .serviceLevelObjectives(LATENCY_BUCKETS)
                                .register(registry));
    }

    private static String boundedTag(Map<String, ?> meters, String value, int limit) {
        return meters.containsKey(value) || meters.size() < limit ? value : OVERFLOW_TAG;
    }

    private static void recordMillis(Timer timer, double millis) {
        timer.record((long) (Math.max(0, millis) * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
    }
}
