package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Tracks for how long each service has been refusing requests without interruption. Used on one event loop only. */
final class OverloadTracker {

    /**
     * Time without a refusal that ends an overload period: several times the interval between requests of a
     * busy service.
     */
    private static final long MAX_REFUSAL_GAP_NANOS = Duration.ofMillis(700).toNanos();

    private final Map<String, OverloadPeriod> periods = new HashMap<>();

    /** Records a refusal. */
    void recordRefusal(String service, long now) {
        OverloadPeriod period = periods.get(service);
        long start = period == null || now - period.lastRefusal() > MAX_REFUSAL_GAP_NANOS ? now : period.start();
        periods.put(service, new OverloadPeriod(start, now));
    }

    /** Returns the duration of the current overload period, or zero if there is none. */
    Duration overloadDuration(String service, long now) {
        OverloadPeriod period = periods.get(service);
        return period == null || now - period.lastRefusal() > MAX_REFUSAL_GAP_NANOS
                ? Duration.ZERO
                : Duration.ofNanos(now - period.start());
    }

    private record OverloadPeriod(long start, long lastRefusal) {}
}
