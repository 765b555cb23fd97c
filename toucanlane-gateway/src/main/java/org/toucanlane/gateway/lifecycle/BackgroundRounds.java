package org.toucanlane.gateway.lifecycle;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.gateway.peer.EndpointLoadMonitor;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.platform.hostlist.HostListClient;

/** Work that is done again and again: the host list, load reports, confirmations of moved shares. Thread-safe. */
@Singleton
public final class BackgroundRounds implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(BackgroundRounds.class);
    private static final int THREADS = 3;
    private static final long ROUND_MILLIS = 1_000;
    private static final long SHARE_ROUND_MILLIS = 250;

    private final HostListClient hostList;
    private final PeerRegistry peers;
    private final EndpointLoadMonitor loads;
    private final ConfigurationApplier applier;
    private final ScheduledExecutorService rounds = Executors.newScheduledThreadPool(
            THREADS,
            new ThreadFactoryBuilder().setNameFormat("round-%d").setDaemon(true).build());

    /** Creates rounds that have not begun. */
    @Inject
    public BackgroundRounds(
            HostListClient hostList, PeerRegistry peers, EndpointLoadMonitor loads, ConfigurationApplier applier) {
        this.hostList = hostList;
        this.peers = peers;
        this.loads = loads;
        this.applier = applier;
    }

    void start() {
        every(ROUND_MILLIS, this::readHostList);
        every(ROUND_MILLIS, loads::refresh);
        every(SHARE_ROUND_MILLIS, applier::confirmShares);
    }

    private void every(long millis, Runnable work) {
        Runnable guarded = () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                LOG.error("background work failed; it goes on with the next round", e);
            }
        };
        rounds.scheduleWithFixedDelay(guarded, 0, millis, TimeUnit.MILLISECONDS);
    }

    private void readHostList() {
        try {
            peers.listed(hostList.hosts());
        } catch (IOException e) {
            LOG.debug("the host list can't be read; the last one stays in use", e);
        }
    }

    @Override
    public void close() {
        rounds.shutdownNow();
    }
}
