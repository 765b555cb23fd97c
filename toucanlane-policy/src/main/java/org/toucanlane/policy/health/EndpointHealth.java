package org.toucanlane.policy.health;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A circuit breaker that ejects an endpoint after consecutive failures.
 *
 * <p>After a number of consecutive failures the endpoint is ejected for a limited time. It then receives calls again: a
 * success resets the failure count, and another failure ejects it for twice as long. Thread-safe and lock-free.
 */
public final class EndpointHealth {

    private final int failuresToEject;
    private final Duration initialEjection;
    private final Duration maxEjection;
    private final AtomicReference<State> state = new AtomicReference<>(new State(0, 0));

    /**
     * Creates a circuit breaker without recorded failures.
     *
     * @param failuresToEject number of consecutive failures after which the endpoint is ejected
     * @param initialEjection duration of the first ejection
     * @param maxEjection maximum duration of an ejection
     */
    public EndpointHealth(int failuresToEject, Duration initialEjection, Duration maxEjection) {
        Preconditions.checkArgument(failuresToEject > 0, "failuresToEject must be positive: %s", failuresToEject);
        this.failuresToEject = failuresToEject;
        this.initialEjection = initialEjection;
        this.maxEjection = maxEjection;
    }

    /** Records a call that was answered. */
    public void recordSuccess() {
        if (state.get().failures() > 0) {
            state.set(new State(0, 0));
        }
    }

    /** Records a call that failed because of the endpoint. */
    public void recordFailure(long nowNanos) {
        state.updateAndGet(old -> {
            int failures = old.failures() + 1;
            int doublings = Math.min(16, failures - failuresToEject);
            boolean ejected = doublings >= 0;
            long ejectionNanos = ejected ? Math.min(maxEjection.toNanos(), initialEjection.toNanos() << doublings) : 0;
            return new State(failures, ejected ? nowNanos + ejectionNanos : 0);
        });
    }

    /** Returns whether the endpoint is ejected at {@code nowNanos} and should receive no calls. */
    public boolean isEjected(long nowNanos) {
        State current = state.get();
        return current.failures() >= failuresToEject && nowNanos - current.ejectedUntilNanos() < 0;
    }

    private record State(int failures, long ejectedUntilNanos) {}
}
