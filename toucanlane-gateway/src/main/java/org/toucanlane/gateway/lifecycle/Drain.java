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

    private final HostPhase phase;
    private final RunningRequests running;
    private final EndpointPools pools;
    private final Duration announce;
    private final Duration longest;

    /** Creates a drain that has not begun. */
    @Inject
    public Drain(HostPhase phase, RunningRequests running, EndpointPools pools, GatewaySettings settings) {
        this.phase = phase;
        this.running = running;
        this.pools = pools;
        this.announce = settings.announceLeaving();
        this.longest = settings.drainTime();
    }

    /** Drains the host and returns how many requests still ran when the time was up. */
    public synchronized int run() {
        try {
            if (phase.phase() == HostPhase.Phase.SERVING) {
                LOG.info("leaving: callers and peers are told");
                phase.advance(HostPhase.Phase.ANNOUNCING);
                TimeUnit.MILLISECONDS.sleep(announce.toMillis());
            }
            phase.advance(HostPhase.Phase.DRAINING);
            long end = System.nanoTime() + longest.toNanos();
            while (running.count() > 0 && System.nanoTime() - end < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        pools.closeQueues();
        int left = running.count();
        LOG.info("drained; {} requests were still running", left);
        return left;
    }
}
