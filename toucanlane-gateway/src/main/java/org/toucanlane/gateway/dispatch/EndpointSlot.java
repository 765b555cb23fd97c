package org.toucanlane.gateway.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.policy.queue.FairQueue;

/** A place in the queue and the count of requests at one endpoint; given back once. Thread-safe. */
final class EndpointSlot implements AutoCloseable {

    private final EndpointState endpoint;
    private final FairQueue.Permit permit;
    private final AtomicBoolean closed = new AtomicBoolean();

    EndpointSlot(EndpointState endpoint, FairQueue.Permit place) {
        this.endpoint = endpoint;
        this.permit = place;
        endpoint.requestStarted();
    }

    void recordFailure() {
        endpoint.health().recordFailure(System.nanoTime());
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            endpoint.requestEnded();
            permit.close();
        }
    }
}
