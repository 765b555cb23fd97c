package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Singleton;
import java.util.concurrent.atomic.AtomicReference;

/** Whether this host takes work. Phases only advance. Thread-safe. */
@Singleton
public final class HostPhase {

    /** Phases in their order. */
    public enum Phase {
        /** Takes work. */
        SERVING,
        /** Takes work, but tells everyone to go elsewhere. */
        ANNOUNCING,
        /** Takes no new work and finishes what runs. */
        DRAINING
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);

    /** Advances to {@code next}; has no effect if that phase was reached before. */
    public void advanceTo(Phase next) {
        phase.updateAndGet(current -> current.compareTo(next) < 0 ? next : current);
    }

    /** Returns the phase. */
    public Phase phase() {
        return phase.get();
    }

    /** Returns whether others should send their work elsewhere. */
    public boolean isLeaving() {
        return phase.get() != Phase.SERVING;
    }

    /** Returns whether new work is refused. */
    public boolean isDraining() {
        return phase.get() == Phase.DRAINING;
    }
}
