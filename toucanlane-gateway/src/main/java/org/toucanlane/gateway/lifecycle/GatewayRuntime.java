package org.toucanlane.gateway.lifecycle;

import com.google.common.io.Closer;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.PeerTlsSettings;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.configuration.StoreWatcher;
import org.toucanlane.gateway.peer.PeerHub;
import org.toucanlane.gateway.peer.PeerMessages;
import org.toucanlane.wire.PeerIdentity;
import org.toucanlane.wire.PeerNode;

/**
 * Everything that runs in the background of a host: links to peers, the watch of the store, and the rounds.
 *
 * <p>Started and stopped once. Resources are gathered by a closer and closed in reverse order.
 */
@Singleton
public final class GatewayRuntime {

    private static final Logger LOG = LoggerFactory.getLogger(GatewayRuntime.class);
    private static final long THREAD_IDLE_SECONDS = 30;

    private final GatewaySettings settings;
    private final PeerIdentity identity;
    private final PeerHub peers;
    private final PeerMessages messages;
    private final ConfigurationManager configuration;
    private final StoreWatcher storeWatcher;
    private final ConfigurationApplier applier;
    private final PeriodicTasks periodicTasks;
    private final Closer closer = Closer.create();

    /** Creates a runtime that has not been started. */
    @Inject
    public GatewayRuntime(
            GatewaySettings settings,
            PeerIdentity self,
            PeerHub peers,
            PeerMessages messages,
            ConfigurationManager configuration,
            StoreWatcher watcher,
            ConfigurationApplier applier,
            PeriodicTasks rounds) {
        this.settings = settings;
        this.identity = self;
        this.peers = peers;
        this.messages = messages;
        this.configuration = configuration;
        this.storeWatcher = watcher;
        this.applier = applier;
        this.periodicTasks = rounds;
    }

    /**
     * Starts listening for peers and all background work.
     *
     * @throws IOException if the TLS files can't be used
     * @throws InterruptedException if interrupted meanwhile
     */
    public void start() throws IOException, InterruptedException {
        configuration.onChange(applier::apply);
        ThreadPoolExecutor calls = new ThreadPoolExecutor(
                0,
                settings.peerCallThreads(),
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                threadFactory("peer-call-%d"));
        closer.register(calls::shutdownNow);
        Optional<PeerTlsSettings> tls = settings.peerTls();
        PeerNode node = new PeerNode(
                settings.peerListen(),
                identity,
                messages,
                tls.isPresent() ? Optional.of(tls.get().load()) : Optional.empty(),
                calls);
        closer.register(node::close);
        peers.start(node);
        ExecutorService watching = Executors.newSingleThreadExecutor(threadFactory("store-watch"));
        closer.register(watching::shutdownNow);
        watching.execute(storeWatcher);
        closer.register(periodicTasks::close);
        periodicTasks.start();
    }

    private static ThreadFactory threadFactory(String name) {
        return new ThreadFactoryBuilder().setNameFormat(name).setDaemon(true).build();
    }

    /** Stops everything. */
    public void stop() {
        try {
            closer.close();
        } catch (IOException e) {
            LOG.warn("not everything was closed", e);
        }
    }
}
