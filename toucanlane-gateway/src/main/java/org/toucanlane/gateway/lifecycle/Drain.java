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
 * A planned stop that cuts no request.
 *
 * <p>First the host says that it is leaving, and still takes requests from those who have not heard; then it refuses new
 * ones and lets those that run finish, for a bounded time; what still waits in a queue then is refused. May be asked for more than once; all wait for the same end.
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

    /** Creates a drain that has not begun. */
    @Inject
    public Drain(HostPhase phase, RunningRequests running, EndpointPools pools, GatewaySettings settings) {
        this.hostPhase = phase;
        this.runningRequests = running;
        this.pools = pools;
        this.announcementTime = settings.announceLeaving();
        this.drainTimeout = settings.drainTime();
    }

    /** Drains the host and returns how many requests still ran when the time was up. */
    public synchronized int run() {
        try {
            if (hostPhase.phase() == HostPhase.Phase.SERVING) {
                LOG.info("leaving: callers and peers are told");
                hostPhase.advanceTo(HostPhase.Phase.ANNOUNCING);
                TimeUnit.MILLISECONDS.sleep(announcementTime.toMillis());
            }
            hostPhase.advanceTo(HostPhase.Phase.DRAINING);
            long end = System.nanoTime() + drainTimeout.toNanos();
            while (runningRequests.count() > 0 && System.nanoTime() - end < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pools.closeQueues();
        int left = runningRequests.count();
        LOG.info("drained; {} requests were still running", left);
        return left;
    }
}
