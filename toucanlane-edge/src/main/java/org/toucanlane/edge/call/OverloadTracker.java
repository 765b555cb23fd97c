package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** For how long each service has turned requests away without a pause. Used on one event loop only. */
final class OverloadTracker {

    /** Time without a refusal that ends a spell: several times the pause between requests of a busy service. */
    private static final long MAX_REFUSAL_GAP_NANOS = Duration.ofMillis(700).toNanos();

    private final Map<String, OverloadPeriod> periods = new HashMap<>();

    /** Notes a refusal. */
    void recordRefusal(String service, long now) {
        OverloadPeriod spell = periods.get(service);
        long since = spell == null || now - spell.lastRefusal() > MAX_REFUSAL_GAP_NANOS ? now : spell.start();
        periods.put(service, new OverloadPeriod(since, now));
    }

    /** Returns how long the spell has lasted, or zero if there is none. */
    Duration overloadDuration(String service, long now) {
        OverloadPeriod spell = periods.get(service);
        return spell == null || now - spell.lastRefusal() > MAX_REFUSAL_GAP_NANOS
                ? Duration.ZERO
                : Duration.ofNanos(now - spell.start());
    }

    private record OverloadPeriod(long start, long lastRefusal) {}
}
