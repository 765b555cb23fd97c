package org.toucanlane.gateway.configuration;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.coordination.membership.Member;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.VersionedValue;
import org.toucanlane.domain.configuration.Manifest;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.peer.PeerRegistry;

/**
 * Watches the platform's key-value store for new configuration versions while this host is one of the designated
 * watchers of its data centre. The other hosts receive new versions from peers.
 *
 * <p>Runs on a dedicated thread. After failures it uses exponential backoff with jitter, up to a maximum delay.
 */
@Singleton
public final class StoreWatcher implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(StoreWatcher.class);
    private static final int WATCHERS_PER_DATA_CENTRE = 2;
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(10);
    private static final long ROLE_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 10_000;

    private final GatewaySettings settings;
    private final KeyValueStore store;
    private final PeerRegistry peers;
    private final ConfigurationManager configuration;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    /** Creates a watcher. */
    @Inject
    public StoreWatcher(
            GatewaySettings settings, KeyValueStore store, PeerRegistry peers, ConfigurationManager configuration) {
        this.settings = settings;
        this.store = store;
        this.peers = peers;
        this.configuration = configuration;
    }

    @Override
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                if (!isDesignatedWatcher()) {
                    Thread.sleep(ROLE_CHECK_INTERVAL_MILLIS);
                } else {
                    watchOnce();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isDesignatedWatcher() {
        List<String> hosts = Stream.concat(
                        Stream.of(settings.host()),
                        peers.membership().membersAcceptingWork(settings.dataCentre()).stream()
                                .map(Member::host))
                .distinct()
                .toList();
        return RendezvousHash.rank(Manifest.STORE_KEY, hosts).stream()
                .limit(WATCHERS_PER_DATA_CENTRE)
                .anyMatch(settings.host()::equals);
    }

    private void watchOnce() throws InterruptedException {
        try {
            Optional<VersionedValue> changed = store.watch(Manifest.STORE_KEY, configuration.version(), WATCH_TIMEOUT);
            if (changed.isPresent()) {
                VersionedValue manifest = changed.get();
                configuration.offer(manifest.revision(), manifest.value(), this::fetchDocument);
                if (configuration.version() < manifest.revision()) {
                    backOff();
                    return;
                }
            }
            backoffMillis = INITIAL_BACKOFF_MILLIS;
        } catch (StoreException e) {
            LOG.debug("the store did not answer", e);
            backOff();
        }
    }

    private String fetchDocument(String hash) {
        try {
            return store.get(Manifest.chunkKey(hash))
                    .map(chunk -> new String(chunk.value(), StandardCharsets.UTF_8))
                    .orElse(null);
        } catch (StoreException e) {
            LOG.warn("failed to fetch document {}: {}", hash, e.getMessage());
            return null;
        }
    }

    private void backOff() throws InterruptedException {
        long jitter = ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
        Thread.sleep(backoffMillis / 2 + jitter);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    }
}
