package org.toucanlane.policy.health;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether an endpoint's recent calls allow sending it more: a circuit breaker on consecutive failures.
 *
 * <p>After a number of failures in a row the endpoint is ejected for a time. When it has passed, it gets calls again;
 * a success clears its record, another failure ejects it for twice as long. Thread-safe, without locks.
 */
public final class EndpointHealth {

    private final int failuresToEject;
    private final Duration initialEjection;
    private final Duration maxEjection;
    private final AtomicReference<State> state = new AtomicReference<>(new State(0, 0));

    /**
     * Creates the health of an endpoint without failures.
     *
     * @param failuresToEject failures in a row that eject it
     * @param firstEjection how long it is ejected at first
     * @param longestEjection longest time for which it is ejected
     */
    public EndpointHealth(int failuresToEject, Duration firstEjection, Duration longestEjection) {
        Preconditions.checkArgument(failuresToEject > 0, "failuresToEject must be positive: %s", failuresToEject);
        this.failuresToEject = failuresToEject;
        this.initialEjection = firstEjection;
        this.maxEjection = longestEjection;
    }

    /** Notes a call that was answered. */
    public void recordSuccess() {
        if (state.get().failures() > 0) {
            state.set(new State(0, 0));
        }
    }

    /** Notes a call that failed by the endpoint's fault. */
    public void recordFailure(long nowNanos) {
        state.updateAndGet(old -> {
            int failures = old.failures() + 1;
            int doublings = Math.min(16, failures - failuresToEject);
            boolean ejected = doublings >= 0;
            long pause = ejected ? Math.min(maxEjection.toNanos(), initialEjection.toNanos() << doublings) : 0;
            return new State(failures, ejected ? nowNanos + pause : 0);
        });
    }

    /** Returns whether it gets no calls at {@code nowNanos}. */
    public boolean isEjected(long nowNanos) {
        State now = state.get();
        return now.failures() >= failuresToEject && nowNanos - now.ejectedUntilNanos() < 0;
    }

    private record State(int failures, long ejectedUntilNanos) {}
}
