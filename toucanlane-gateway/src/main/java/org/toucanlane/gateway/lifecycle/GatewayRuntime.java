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
import org.toucanlane.gateway.peer.PeerMessageHandler;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.wire.PeerIdentity;
import org.toucanlane.wire.PeerNode;

/**
 * Starts and stops the background work of a host: peer connections, the store watcher and periodic tasks.
 *
 * <p>May be started and stopped only once. Resources are closed in the reverse order of their creation.
 */
@Singleton
public final class GatewayRuntime {

    private static final Logger LOG = LoggerFactory.getLogger(GatewayRuntime.class);
    private static final long THREAD_IDLE_SECONDS = 30;

    private final GatewaySettings settings;
    private final PeerIdentity identity;
    private final PeerRegistry peers;
    private final PeerMessageHandler messages;
    private final ConfigurationManager configuration;
    private final StoreWatcher storeWatcher;
    private final ConfigurationApplier applier;
    private final PeriodicTasks periodicTasks;
    private final Closer closer = Closer.create();

    /** Creates a runtime without starting it. */
    @Inject
    public GatewayRuntime(
            GatewaySettings settings,
            PeerIdentity identity,
            PeerRegistry peers,
            PeerMessageHandler messages,
            ConfigurationManager configuration,
            StoreWatcher storeWatcher,
            ConfigurationApplier applier,
            PeriodicTasks periodicTasks) {
        this.settings = settings;
        this.identity = identity;
        this.peers = peers;
        this.messages = messages;
        this.configuration = configuration;
        this.storeWatcher = storeWatcher;
        this.applier = applier;
        this.periodicTasks = periodicTasks;
    }

    /**
     * Starts listening for peers and starts all background work.
     *
     * @throws IOException if the TLS files can't be loaded
     * @throws InterruptedException if the thread is interrupted during startup
     */
    public void start() throws IOException, InterruptedException {
        configuration.onChange(applier::apply);
        ThreadPoolExecutor callExecutor = new ThreadPoolExecutor(
                0,
                settings.peerCallThreads(),
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                threadFactory("peer-call-%d"));
        closer.register(callExecutor::shutdownNow);
        Optional<PeerTlsSettings> tls = settings.peerTls();
        PeerNode node = new PeerNode(
                settings.peerListen(),
                identity,
                messages,
                tls.isPresent() ? Optional.of(tls.get().load()) : Optional.empty(),
                callExecutor);
        closer.register(node::close);
        peers.start(node);
        ExecutorService watchExecutor = Executors.newSingleThreadExecutor(threadFactory("store-watch"));
        closer.register(watchExecutor::shutdownNow);
        watchExecutor.execute(storeWatcher);
        closer.register(periodicTasks::close);
        periodicTasks.start();
    }

    private static ThreadFactory threadFactory(String nameFormat) {
        return new ThreadFactoryBuilder()
                .setNameFormat(nameFormat)
                .setDaemon(true)
                .build();
    }

    /** Stops all background work and closes the peer connections. */
    public void stop() {
        try {
            closer.close();
        } catch (IOException e) {
            LOG.warn("failed to close some resources", e);
        }
    }
}
