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

/** Periodically refreshes the host list and load reports and applies confirmations of moved shares. Thread-safe. */
@Singleton
public final class PeriodicTasks implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTasks.class);
    private static final int THREADS = 3;
    private static final long REFRESH_INTERVAL_MILLIS = 1_000;
    private static final long SHARE_CONFIRMATION_INTERVAL_MILLIS = 250;

    private final HostListClient hostList;
    private final PeerRegistry peers;
    private final EndpointLoadMonitor loadReports;
    private final ConfigurationApplier applier;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(
            THREADS,
            new ThreadFactoryBuilder().setNameFormat("round-%d").setDaemon(true).build());

    /** Creates the tasks without starting them. */
    @Inject
    public PeriodicTasks(
            HostListClient hostList,
            PeerRegistry peers,
            EndpointLoadMonitor loadReports,
            ConfigurationApplier applier) {
        this.hostList = hostList;
        this.peers = peers;
        this.loadReports = loadReports;
        this.applier = applier;
    }

    void start() {
        schedule(REFRESH_INTERVAL_MILLIS, this::refreshHostList);
        schedule(REFRESH_INTERVAL_MILLIS, loadReports::refresh);
        schedule(SHARE_CONFIRMATION_INTERVAL_MILLIS, applier::applyConfirmedShares);
    }

    private void schedule(long delayMillis, Runnable task) {
        Runnable guarded = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("a periodic task failed; it will run again in the next round", e);
            }
        };
        scheduler.scheduleWithFixedDelay(guarded, 0, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void refreshHostList() {
        try {
            peers.listed(hostList.hosts());
        } catch (IOException e) {
            LOG.debug("failed to read the host list; the previous one remains in use", e);
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
