package org.toucanlane.edge.host;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.toucanlane.edge.http.RequestIntake;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.overload.LoopClock;

/** Shows the delays of a host's event loop to operators. Confined to that event loop. */
final class LoopMonitor {

    /** Shortest time between two log entries about stalls. */
    private static final long LOG_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final LoopClock clock;
    private final DecisionLog log;
    private final CallMetrics metrics;
    private long loggedStalls;
    private long loggedAt;

    LoopMonitor(LoopClock clock, DecisionLog log, CallMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.loggedAt = System.nanoTime() - LOG_INTERVAL_NANOS;
    }

    void registerGauges(RequestIntake intake) {
        metrics.registerGauge(
                "toucanlane.loop.delay.seconds",
                "longest time since the last scrape for which input may have waited to be read",
                () -> clock.takeLongestDelayNanos() / NANOS_PER_SECOND);
        metrics.registerGauge(
                "toucanlane.loop.stalls", "times at which this host didn't read for 0.2 s or more", clock::stallCount);
        metrics.registerGauge(
                "toucanlane.requests.waiting", "requests that wait because the event loop is late", intake::waiting);
    }

    /** Logs the stalls since the last entry, at most once a second. */
    void logStalls(long now) {
        long stalls = clock.stallCount();
        if (stalls != loggedStalls && now - loggedAt >= LOG_INTERVAL_NANOS) {
            log.stateChange(
                    "loop_stalled",
                    "stalls",
                    stalls - loggedStalls,
                    "latest_ms",
                    TimeUnit.NANOSECONDS.toMillis(clock.latestStallNanos()));
            loggedStalls = stalls;
            loggedAt = now;
        }
    }
}
