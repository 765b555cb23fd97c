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
import org.toucanlane.gateway.peer.PeerHub;
import org.toucanlane.wire.PeerLink;
import org.toucanlane.wire.proto.Chunk;
import org.toucanlane.wire.proto.ConfigurationReply;
import org.toucanlane.wire.proto.ConfigurationRequest;

/**
 * The newest valid configuration that reached this host.
 *
 * <p>Invariants: the version in force never decreases; a version that can't be read or has faults leaves the earlier one
 * in force; readers see one immutable version whole. Thread-safe.
 */
@Singleton
public final class ConfigurationKeeper {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationKeeper.class);

    private final PeerHub peers;
    private final MonotonicReference<ConfigurationSnapshot> inForce = new MonotonicReference<>();
    private final List<Consumer<ConfigurationSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean asking = new AtomicBoolean();
    private final AtomicBoolean complained = new AtomicBoolean();

    /** Creates a keeper without a configuration. */
    @Inject
    public ConfigurationKeeper(PeerHub peers) {
        this.peers = peers;
    }

    /** Adds a listener that is called after each new version has come into force, in order of the versions. */
    public void onChange(Consumer<ConfigurationSnapshot> listener) {
        listeners.add(listener);
    }

    /** Returns the version in force, 0 if there is none. */
    public long version() {
        return inForce.version();
    }

    /** Returns what is in force. */
    public Optional<ConfigurationSnapshot> snapshot() {
        return inForce.get().map(Versioned::value);
    }

    /**
     * Returns what is in force.
     *
     * @throws RequestFailedException if nothing has reached this host yet
     */
    public ConfigurationSnapshot current() throws RequestFailedException {
        return snapshot()
                .orElseThrow(() ->
                        new RequestFailedException(ErrorKind.NOT_READY, "no configuration has reached this host yet"));
    }

    /**
     * Puts a version into force if it is newer than the one that is.
     *
     * @param manifest the manifest as stored
     * @param fetch returns the text of a document by its content hash, or null; asked only for documents that the
     *     version in force does not have
     * @return whether it came into force
     */
    public synchronized boolean offer(long version, byte[] manifest, Function<String, String> fetch) {
        if (version <= version()) {
            return false;
        }
        try {
            ConfigurationSnapshot next = ConfigurationSnapshot.load(version, manifest, snapshot(), fetch);
            inForce.advance(new Versioned<>(version, next));
            listeners.forEach(listener -> listener.accept(next));
            complained.set(false);
            LOG.info("configuration version {} is in force", version);
            return true;
        } catch (IOException | InvalidConfigurationException e) {
            if (complained.compareAndSet(false, true)) {
                LOG.error(
                        "version {} can't be used; version {} stays in force: {}", version, version(), e.getMessage());
            }
            return false;
        }
    }

    /** Takes note that {@code peer} has {@code version} in force, and asks for it if it is newer. */
    public void peerHas(String peer, long version) {
        if (version <= version() || !asking.compareAndSet(false, true)) {
            return;
        }
        Optional<PeerLink> link = peers.link(peer);
        if (link.isEmpty()) {
            asking.set(false);
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
                asking.set(false);
            }
        });
    }

    private void offerFromPeer(ConfigurationReply reply) {
        if (reply.getVersion() == 0) {
            return;
        }
        Map<String, String> chunks = reply.getChunksList().stream()
                .collect(Collectors.toMap(Chunk::getHash, chunk -> text(chunk.getContent()), (a, b) -> a));
        offer(reply.getVersion(), reply.getManifest().toByteArray(), chunks::get);
    }

    private static String text(ByteString bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
