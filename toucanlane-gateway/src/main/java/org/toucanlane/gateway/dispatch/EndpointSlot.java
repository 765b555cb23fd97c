package org.toucanlane.gateway.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;
import org.toucanlane.policy.queue.FairQueue;

/**
 * A queue permit together with a request counted as in flight at an endpoint. Closing it releases both; closing it again
 * has no effect. Thread-safe.
 */
final class EndpointSlot implements AutoCloseable {

    private final EndpointState endpoint;
    private final FairQueue.Permit permit;
    private final AtomicBoolean closed = new AtomicBoolean();

    EndpointSlot(EndpointState endpoint, FairQueue.Permit permit) {
        this.endpoint = endpoint;
        this.permit = permit;
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
