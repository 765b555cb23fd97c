package org.toucanlane.edge.telemetry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
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
 * Counters and histograms of a host's requests, in the Prometheus text format.
 *
 * <p>Bounded: the first {@value #MOST_ROUTES} routes and {@value #MOST_ACCOUNTS} accounts since the start have series of
 * their own, all later ones share one. Used on the host's event loop only, apart from the registry itself.
 */
public final class CallMetrics {

    /** Routes with series of their own: several times the kinds of requests that deployments have. */
    static final int MOST_ROUTES = 128;

    /** Accounts with series of their own: those that one host hears of, at some hundred bytes for each bucket. */
    static final int MOST_ACCOUNTS = 256;

    private static final String OTHERS = "(others)";

    /** Bounds of the histograms: around the usual latency objectives, from 20 ms to 1 s, and beyond them. */
    private static final Duration[] BUCKETS = {
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

    /** Bounds of the ratio of observed to expected time. */
    private static final double[] RATIOS = {0.25, 0.5, 0.8, 1.25, 2, 4, 8};

    private static final double MICROS_PER_MILLI = 1_000;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Timer> firstOfRoutes = new HashMap<>();
    private final Map<String, Timer> firstOfAccounts = new HashMap<>();
    private final Map<String, Timer> wholeOfRoutes = new HashMap<>();
    private final Map<String, Timer> wholeOfAccounts = new HashMap<>();
    private final Map<String, Timer> gapsOfRoutes = new HashMap<>();
    private final Map<String, Timer> waits = new HashMap<>();
    private final Map<String, DistributionSummary> ratios = new HashMap<>();
    private final Map<ErrorKind, Counter> refusals = new EnumMap<>(ErrorKind.class);
    private final Map<String, Counter> repeats = new HashMap<>();

    /** Notes the time until an answer began. */
    public void first(String route, String account, double millis) {
        record(timer(firstOfRoutes, "toucanlane.first", "route", route, MOST_ROUTES), millis);
        record(timer(firstOfAccounts, "toucanlane.account.first", "account", account, MOST_ACCOUNTS), millis);
    }

    /** Notes the time between two parts of a stream. */
    public void gap(String route, double millis) {
        record(timer(gapsOfRoutes, "toucanlane.gap", "route", route, MOST_ROUTES), millis);
    }

    /** Notes the time until an answer was whole. */
    public void whole(String route, String account, double millis) {
        record(timer(wholeOfRoutes, "toucanlane.whole", "route", route, MOST_ROUTES), millis);
        record(timer(wholeOfAccounts, "toucanlane.account.whole", "account", account, MOST_ACCOUNTS), millis);
    }

    /** Notes the expected time that a request waits for others at its endpoint. */
    public void queued(String service, double millis) {
        record(timer(waits, "toucanlane.queue", "service", service, MOST_ROUTES), millis);
    }

    /** Notes how an answer's beginning compares with what was expected of its endpoint. */
    public void estimated(String service, double expectedMillis, double observedMillis) {
        ratios.computeIfAbsent(
                        bounded(ratios, service, MOST_ROUTES),
                        name -> DistributionSummary.builder("toucanlane.estimate.ratio")
                                .description("observed time to the first answer, as a multiple of the expected one")
                                .tag("service", name)
                                .serviceLevelObjectives(RATIOS)
                                .register(registry))
                .record(observedMillis / Math.max(1, expectedMillis));
    }

    /** Notes a request that ended with an error of this host. */
    public void refused(ErrorKind kind) {
        refusals.computeIfAbsent(
                        kind,
                        key -> Counter.builder("toucanlane.refusals")
                                .tag("kind", key.code())
                                .tag("ran", key.executionStatus().code())
                                .register(registry))
                .increment();
    }

    /** Notes that a request is sent once more. */
    public void repeated(String service) {
        repeats.computeIfAbsent(
                        service,
                        key -> Counter.builder("toucanlane.repeats")
                                .tag("service", key)
                                .register(registry))
                .increment();
    }

    /** Adds a figure that is asked for when the metrics are read. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /** Returns all metrics as text. */
    public String scrape() {
        return registry.scrape();
    }

    private Timer timer(Map<String, Timer> known, String name, String tag, String value, int most) {
        Timer timer = known.get(value);
        return timer != null
                ? timer
                : known.computeIfAbsent(
                        bounded(known, value, most),
                        key -> Timer.builder(name)
                                .tag(tag, key)
                                .serviceLevelObjectives(BUCKETS)
                                .register(registry));
    }

    private static String bounded(Map<String, ?> known, String value, int most) {
        return known.containsKey(value) || known.size() < most ? value : OTHERS;
    }

    private static void record(Timer timer, double millis) {
        timer.record((long) (Math.max(0, millis) * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
    }
}
