package org.toucanlane.gateway.dispatch;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.domain.fleet.Endpoint;
import org.toucanlane.policy.health.EndpointHealth;
import org.toucanlane.policy.routing.EndpointView;

/** What this process knows of one endpoint. Thread-safe, without locks. */
public final class EndpointState {

    private static final int FAILURES_TO_EJECT = 3;
    private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);
    private static final Duration LONGEST_EJECTION = Duration.ofSeconds(30);

    private final Endpoint endpoint;
    private final long nameHash;
    private final AtomicInteger running = new AtomicInteger();
    private final EndpointHealth health = new EndpointHealth(FAILURES_TO_EJECT, FIRST_EJECTION, LONGEST_EJECTION);
    private volatile Report report = new Report(0, true, 0);

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

    void started() {
        running.incrementAndGet();
    }

    void ended() {
        running.decrementAndGet();
    }

    int running() {
        return running.get();
    }

    /** Takes in what the endpoint, or another host, said of its load. */
    public void reported(int totalRunning, boolean available) {
        report = new Report(Math.max(0, totalRunning - running.get()), available, System.nanoTime());
    }

    boolean isAvailable() {
        return report.available() && !health.isEjected(System.nanoTime());
    }

    /** Returns how many requests it is believed to be working on. */
    public int believedRunning() {
        return running.get() + report.othersRunning();
    }

    EndpointView view() {
        return new EndpointView(
                endpoint.name(), nameHash, endpoint.capacity(), running.get(), report.othersRunning(), isAvailable());
    }

    private record Report(int othersRunning, boolean available, long atNanos) {}
}
