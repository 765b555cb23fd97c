package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.dispatch.EndpointPools;

/**
 * Graceful shutdown of a host that lets running requests finish.
 *
 * <p>The host first announces that it is leaving but still accepts requests, since not every caller and peer has seen
 * the announcement yet. It then rejects new requests and waits, for a limited time, until the running ones have
 * finished. Finally it rejects the requests that are still queued. {@link #run} may be called more than once; every
 * call returns after the host has been drained.
 */
@Singleton
public final class Drain {

    private static final Logger LOG = LoggerFactory.getLogger(Drain.class);
    private static final long POLL_MILLIS = 20;

    private final HostPhase hostPhase;
    private final RunningRequests runningRequests;
    private final EndpointPools pools;
    private final Duration announcementTime;
    private final Duration drainTimeout;

    /** Creates a drain without starting it. */
    @Inject
    public Drain(HostPhase hostPhase, RunningRequests runningRequests, EndpointPools pools, GatewaySettings settings) {
        this.hostPhase = hostPhase;
        this.runningRequests = runningRequests;
        this.pools = pools;
        this.announcementTime = settings.announceLeaving();
        this.drainTimeout = settings.drainTime();
    }

    /** Drains the host and returns the number of requests that were still running at the end. */
    public synchronized int run() {
        try {
            if (hostPhase.phase() == HostPhase.Phase.SERVING) {
                LOG.info("announcing to callers and peers that this host is leaving");
                hostPhase.advanceTo(HostPhase.Phase.ANNOUNCING);
                TimeUnit.MILLISECONDS.sleep(announcementTime.toMillis());
            }
            hostPhase.advanceTo(HostPhase.Phase.DRAINING);
            long deadlineNanos = System.nanoTime() + drainTimeout.toNanos();
            while (runningRequests.count() > 0 && System.nanoTime() - deadlineNanos < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pools.closeQueues();
        int remaining = runningRequests.count();
        LOG.info("drained; {} requests were still running", remaining);
        return remaining;
    }
}
