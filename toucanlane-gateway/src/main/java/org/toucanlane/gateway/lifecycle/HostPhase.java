package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Singleton;
import java.util.concurrent.atomic.AtomicReference;

/** The phase of this host's life, which determines whether it accepts work. Phases only advance. Thread-safe. */
@Singleton
public final class HostPhase {

    /** The phases, in order. */
    public enum Phase {
        /** Accepts work. */
        SERVING,
        /** Still accepts work, but announces that callers and peers should use other hosts. */
        ANNOUNCING,
        /** Rejects new work and finishes running requests. */
        DRAINING
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);

    /** Advances to {@code next}; has no effect if that phase has already been reached. */
    public void advanceTo(Phase next) {
        phase.updateAndGet(current -> current.compareTo(next) < 0 ? next : current);
    }

    /** Returns the current phase. */
    public Phase phase() {
        return phase.get();
    }

    /** Returns whether callers and peers should use other hosts. */
    public boolean isLeaving() {
        return phase.get() != Phase.SERVING;
    }

    /** Returns whether new work is rejected. */
    public boolean isDraining() {
        return phase.get() == Phase.DRAINING;
    }
}
