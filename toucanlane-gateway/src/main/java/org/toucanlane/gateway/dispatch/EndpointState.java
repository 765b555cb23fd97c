package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.domain.fleet.Endpoint;
import org.toucanlane.policy.health.EndpointHealth;
import org.toucanlane.policy.routing.EndpointView;

/** The state of an endpoint as this process sees it: its load, availability and health. Lock-free and thread-safe. */
public final class EndpointState {

    private static final int FAILURES_TO_EJECT = 3;
    private static final Duration INITIAL_EJECTION = Duration.ofSeconds(1);
    private static final Duration MAX_EJECTION = Duration.ofSeconds(30);

    private final Endpoint endpoint;
    private final long nameHash;
    private final AtomicInteger running = new AtomicInteger();
    private final EndpointHealth health = new EndpointHealth(FAILURES_TO_EJECT, INITIAL_EJECTION, MAX_EJECTION);
    private volatile LoadReport lastReport = new LoadReport(0, true, 0);

    EndpointState(Endpoint endpoint) {
        this.endpoint = endpoint;
        this.nameHash = RendezvousHash.hash(endpoint.name());
    }

    /** Returns the endpoint. */
    public Endpoint endpoint() {
        return endpoint;
    }

    EndpointHealth health() {
        return health;
    }

    void requestStarted() {
        running.incrementAndGet();
    }

    void requestEnded() {
        running.decrementAndGet();
    }

    int running() {
        return running.get();
    }

    /** Records a load report from the endpoint or from another host. */
    public void recordLoad(int totalRunning, boolean available) {
        lastReport = new LoadReport(Math.max(0, totalRunning - running.get()), available, System.nanoTime());
    }

    boolean isAvailable() {
        return lastReport.available() && !health.isEjected(System.nanoTime());
    }

    /** Returns the estimated number of requests in flight there, from all hosts. */
    public int estimatedRunning() {
        return running.get() + lastReport.othersRunning();
    }

    EndpointView view() {
        return new EndpointView(
                endpoint.name(),
                nameHash,
                endpoint.capacity(),
                running.get(),
                lastReport.othersRunning(),
                isAvailable());
    }

    private record LoadReport(int othersRunning, boolean available, long atNanos) {}
}
