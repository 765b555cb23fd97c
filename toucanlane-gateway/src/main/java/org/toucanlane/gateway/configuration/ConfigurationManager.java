package org.toucanlane.gateway.configuration;

import com.google.protobuf.ByteString;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.toucanlane.coordination.snapshot.MonotonicReference;
import org.toucanlane.coordination.snapshot.Versioned;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.outcome.ErrorKind;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.wire.PeerLink;
import org.toucanlane.wire.proto.Chunk;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;

/**
 * Holds the active configuration of this host, the newest valid version that it has received.
 *
 * <p>Invariants: the active version never decreases; a version that can't be read or is invalid leaves the previous one
 * active; readers see one complete, immutable version. Thread-safe.
 */
@Singleton
public final class ConfigurationManager {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationManager.class);

    private final PeerRegistry peers;
    private final MonotonicReference<ConfigurationSnapshot> active = new MonotonicReference<>();
    private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean requestingFromPeer = new AtomicBoolean();
    private final AtomicBoolean errorLogged = new AtomicBoolean();

    /** Creates a manager without a configuration. */
    @Inject
    public ConfigurationManager(PeerRegistry peers) {
        this.peers = peers;
    }

    /** Adds a listener that is called after each new version has become active, in version order. */
    public void onChange(Consumer<ConfigurationSnapshot> listener) {
        listeners.add(listener);
    }

    /** Returns the active version, or 0 if there is none. */
    public long version() {
        return active.version();
    }

    /** Returns the active configuration, if there is one. */
    public Optional<ConfigurationSnapshot> snapshot() {
        return active.get().map(Versioned::value);
    }

    /**
     * Returns the active configuration.
     *
     * @throws RequestFailedException if this host has not received a configuration yet
     */
    public ConfigurationSnapshot current() throws RequestFailedException {
        return snapshot()
                .orElseThrow(() ->
                        new RequestFailedException(ErrorKind.NOT_READY, "no configuration has reached this host yet"));
    }

    /**
     * Activates a version if it is valid and newer than the active one.
     *
     * @param manifest the manifest as stored
     * @param fetch returns the text of a document by its content hash, or null if it is unavailable; called only for
     *     documents that the active version does not contain
     * @return whether the version was activated
     */
    public synchronized boolean offer(long version, byte[] manifest, Function<String, String> fetch) {
        if (version <= version()) {
            return false;
        }
        try {
            ConfigurationSnapshot next = ConfigurationSnapshot.load(version, manifest, snapshot(), fetch);
            active.advance(new Versioned<>(version, next));
            listeners.forEach(listener -> listener.accept(next));
            errorLogged.set(false);
            LOG.info("configuration version {} is now active", version);
            return true;
        } catch (IOException | InvalidConfigurationException e) {
            if (errorLogged.compareAndSet(false, true)) {
                LOG.error(
                        "failed to load configuration version {}; version {} remains active: {}",
                        version,
                        version(),
                        e.getMessage());
            }
            return false;
        }
    }

    /**
     * Handles the report that {@code version} is active on {@code peer}: requests it from there if it is newer and no
     * other such request is pending.
     */
    public void onPeerVersion(String peer, long version) {
        if (version <= version() || !requestingFromPeer.compareAndSet(false, true)) {
            return;
        }
        Optional<PeerLink> link = peers.link(peer);
        if (link.isEmpty()) {
            requestingFromPeer.set(false);
            return;
        }
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setKnownVersion(version())
                .addAllKnownChunks(
                        snapshot().map(known -> known.documents().keySet()).orElse(Set.of()))
                .build();
        link.get().requestConfiguration(request).whenCompleteAsync((reply, failure) -> {
            try {
                Optional.ofNullable(reply).flatMap(r -> r).ifPresent(this::offerFromPeer);
            } finally {
                requestingFromPeer.set(false);
            }
        });
    }

    private void offerFromPeer(ConfigurationReply reply) {
        if (reply.getVersion() == 0) {
            return;
        }
        Map<String, String> chunks = reply.getChunksList().stream()
                .collect(Collectors.toMap(Chunk::getHash, chunk -> decodeUtf8(chunk.getContent()), (a, b) -> a));
        offer(reply.getVersion(), reply.getManifest().toByteArray(), chunks::get);
    }

    private static String decodeUtf8(ByteString bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
