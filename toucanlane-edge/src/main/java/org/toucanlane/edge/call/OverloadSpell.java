package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** For how long each service has turned requests away without a pause. Used on one event loop only. */
final class OverloadSpell {

    /** Time without a refusal that ends a spell: several times the pause between requests of a busy service. */
    private static final long PAUSE_NANOS = Duration.ofMillis(700).toNanos();

    private final Map<String, Spell> spells = new HashMap<>();

    /** Notes a refusal. */
    void refused(String service, long now) {
        Spell spell = spells.get(service);
        long since = spell == null || now - spell.last() > PAUSE_NANOS ? now : spell.since();
        spells.put(service, new Spell(since, now));
    }

    /** Returns how long the spell has lasted, or zero if there is none. */
    Duration lasting(String service, long now) {
        Spell spell = spells.get(service);
        return spell == null || now - spell.last() > PAUSE_NANOS
                ? Duration.ZERO
                : Duration.ofNanos(now - spell.since());
    }

    private record Spell(long since, long last) {}
}
