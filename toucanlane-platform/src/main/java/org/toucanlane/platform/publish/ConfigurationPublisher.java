package org.toucanlane.platform.publish;

import com.google.common.base.Preconditions;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.toucanlane.coordination.share.ShareSplit;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.VersionedValue;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.Manifest;
import org.toucanlane.domain.configuration.ServiceDocument;

/**
 * Publishes configuration documents.
 *
 * <p>Documents are written first, under their content hashes; a single compare-and-swap of the manifest then publishes
 * them atomically, so a publisher that crashes midway leaves no partial publication. If a concurrent publisher wins the
 * race, changes to documents of other names are merged; a change to a document of the same name is a conflict. If the
 * response to a write is lost, the manifest is read back.
 *
 * <p>Documents are cached after they are read or written, since the content under a hash never changes. Thread-safe.
 */
public final class ConfigurationPublisher {

    private static final int MAX_CAS_ATTEMPTS = 16;

    private final KeyValueStore store;
    private final Map<String, ServiceDocument> documentsByHash = new ConcurrentHashMap<>();

    /** Creates a publisher that writes to {@code store}. */
    public ConfigurationPublisher(KeyValueStore store) {
        this.store = Preconditions.checkNotNull(store, "store");
    }

    /**
     * Returns the published configuration.
     *
     * @throws StoreException if the store does not respond
     * @throws IOException if the stored configuration can't be read
     * @throws InvalidConfigurationException if the stored configuration is invalid
     */
    public PublishedConfiguration current() throws StoreException, IOException, InvalidConfigurationException {
        Optional<VersionedValue> stored = store.get(Manifest.STORE_KEY);
        if (stored.isEmpty()) {
            return new PublishedConfiguration(KeyValueStore.ABSENT, Manifest.empty(), Map.of());
        }
        Manifest manifest = Manifest.decode(stored.get().value());
        Map<String, ServiceDocument> documents = new TreeMap<>();
        for (Map.Entry<String, String> entry : manifest.documents().entrySet()) {
            documents.put(entry.getKey(), loadDocument(entry.getKey(), entry.getValue()));
        }
        return new PublishedConfiguration(stored.get().revision(), manifest, documents);
    }

    private ServiceDocument loadDocument(String name, String hash)
            throws StoreException, IOException, InvalidConfigurationException {
        ServiceDocument document = documentsByHash.get(hash);
        if (document == null) {
            VersionedValue chunk = store.get(Manifest.chunkKey(hash))
                    .orElseThrow(
                            () -> new IOException("document " + name + " (" + hash + ") is missing from the store"));
            document = ServiceDocument.parse(name, new String(chunk.value(), StandardCharsets.UTF_8));
            documentsByHash.put(hash, document);
        }
        return document;
    }

    /**
     * Publishes {@code documents}, keeping published documents of other names.
     *
     * @param removed names of documents to remove
     * @param confirmed configuration version that each host has confirmed to use, as far as known
     * @return the resulting published configuration
     * @throws PublishConflictException if another publisher concurrently changed a document of the same name, or if
     *     shares would move between hosts again before every host has confirmed the previous move
     * @throws InvalidConfigurationException if the documents are inconsistent with the others
     * @throws StoreException if the store does not respond; {@link StoreException#mayHaveTakenEffect()} tells whether
     *     the documents may have been published
     * @throws IOException if the stored configuration can't be read
     */
    public PublishedConfiguration publish(
            Collection<ServiceDocument> documents, Set<String> removed, Map<String, Long> confirmed)
            throws StoreException, IOException, InvalidConfigurationException, PublishConflictException {
        PublishedConfiguration before = current();
        PublishedConfiguration base = before;
        for (int attempt = 0; attempt < MAX_CAS_ATTEMPTS; attempt++) {
            PublishedConfiguration next = merge(base, documents, removed, confirmed);
            if (next.manifest().equals(base.manifest())) {
                return base;
            }
            writeChunks(documents);
            Optional<Long> revision = writeManifest(next.manifest(), base.revision());
            if (revision.isPresent()) {
                return new PublishedConfiguration(revision.get(), next.manifest(), next.documents());
            }
            base = current();
            if (isPublished(base, documents, removed)) {
                return base;
            }
            checkNotChangedSince(before, base, documents, removed);
        }
        throw StoreException.withoutEffect("too many concurrent changes of the manifest", null);
    }

    private static PublishedConfiguration merge(
            PublishedConfiguration base,
            Collection<ServiceDocument> documents,
            Set<String> removed,
            Map<String, Long> confirmed)
            throws InvalidConfigurationException, PublishConflictException {
        Map<String, ServiceDocument> merged = new TreeMap<>(base.documents());
        documents.forEach(document -> merged.put(document.name(), document));
        merged.keySet().removeAll(removed);
        FleetConfiguration next = FleetConfiguration.assemble(merged.values());
        Map<String, String> hashes = new HashMap<>();
        merged.forEach((name, document) -> hashes.put(name, document.contentHash()));
        Map<String, String> earlier = previousDocumentsFor(base, next, confirmed);
        return new PublishedConfiguration(base.revision(), new Manifest(hashes, earlier), merged);
    }

    /** Returns the earlier documents whose split of shares hosts must still take into account. */
    private static Map<String, String> previousDocumentsFor(
            PublishedConfiguration base, FleetConfiguration next, Map<String, Long> confirmed)
            throws InvalidConfigurationException, PublishConflictException {
        if (base.documents().isEmpty()) {
            return Map.of();
        }
        FleetConfiguration current =
                FleetConfiguration.assemble(base.documents().values());
        boolean lastMoveConfirmed = base.manifest().earlier().isEmpty()
                || current.hosts().stream().allMatch(host -> confirmed.getOrDefault(host, 0L) >= base.revision());
        var currentHolders = current.shareHolders();
        var nextHolders = next.shareHolders();
        boolean sharesMove = currentHolders.keySet().stream()
                .anyMatch(account ->
                        ShareSplit.isMove(currentHolders.get(account), nextHolders.getOrDefault(account, List.of())));
        if (!sharesMove) {
            return lastMoveConfirmed ? Map.of() : base.manifest().earlier();
        }
        if (!lastMoveConfirmed) {
            throw new PublishConflictException(
                    "shares of limits were moved between hosts before, and not every host has confirmed that move:"
                            + " wait for them, or first remove hosts that no longer exist from the fleet's file");
        }
        return base.manifest().documents();
    }

    private void writeChunks(Collection<ServiceDocument> documents) throws StoreException {
        for (ServiceDocument document : documents) {
            if (!documentsByHash.containsKey(document.contentHash())) {
                writeChunk(
                        Manifest.chunkKey(document.contentHash()),
                        document.text().getBytes(StandardCharsets.UTF_8));
                documentsByHash.put(document.contentHash(), document);
            }
        }
    }

    private void writeChunk(String key, byte[] content) throws StoreException {
        try {
            store.compareAndSwap(key, content, KeyValueStore.ABSENT);
        } catch (StoreConflictException ignored) {
            // Another publisher has already written the same content under this hash.
        } catch (StoreException e) {
            if (!e.mayHaveTakenEffect() || store.get(key).isEmpty()) {
                throw e;
            }
        }
    }

    /** Returns the new revision of the manifest, or empty if the published manifest has to be read back. */
    private Optional<Long> writeManifest(Manifest manifest, long expected) throws StoreException {
        try {
            return Optional.of(store.compareAndSwap(Manifest.STORE_KEY, manifest.encode(), expected));
        } catch (StoreConflictException e) {
            return Optional.empty();
        } catch (StoreException e) {
            if (!e.mayHaveTakenEffect()) {
                throw e;
            }
            return Optional.empty();
        }
    }

    private static boolean isPublished(
            PublishedConfiguration now, Collection<ServiceDocument> documents, Set<String> removed) {
        boolean allPublished = documents.stream()
                .allMatch(document ->
                        document.contentHash().equals(now.manifest().documents().get(document.name())));
        return allPublished && removed.stream().noneMatch(now.manifest().documents()::containsKey);
    }

    private static void checkNotChangedSince(
            PublishedConfiguration before,
            PublishedConfiguration now,
            Collection<ServiceDocument> documents,
            Set<String> removed)
            throws PublishConflictException {
        List<String> names = new ArrayList<>(removed);
        documents.forEach(document -> names.add(document.name()));
        for (String name : names) {
            String previousHash = before.manifest().documents().get(name);
            String currentHash = now.manifest().documents().get(name);
            if (previousHash == null ? currentHash != null : !previousHash.equals(currentHash)) {
                throw new PublishConflictException("\"" + name
                        + "\" was published concurrently by another publisher, in version " + now.revision());
            }
        }
    }

    /**
     * A published configuration.
     *
     * @param revision configuration version, 0 if none was published
     * @param manifest manifest of the documents
     * @param documents documents by name
     */
    public record PublishedConfiguration(long revision, Manifest manifest, Map<String, ServiceDocument> documents) {}
}
