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
 * Puts operators' files into force.
 *
 * <p>Documents are written first, under their content hashes; then one compare-and-swap of the manifest puts them into
 * force together, so that a publisher that dies halfway leaves nothing half in force. When another publisher was
 * quicker, documents of other names are merged; one of the same name is a conflict. When a write's answer is lost, the
 * manifest is read back.
 *
 * <p>Documents that were read are kept, since what is under a content hash never changes. Thread-safe.
 */
public final class ConfigurationPublisher {

    private static final int MAX_CAS_ATTEMPTS = 16;

    private final KeyValueStore store;
    private final Map<String, ServiceDocument> documentsByHash = new ConcurrentHashMap<>();

    /** Creates a publisher over the platform's service. */
    public ConfigurationPublisher(KeyValueStore store) {
        this.store = Preconditions.checkNotNull(store, "store");
    }

    /**
     * Returns what is in force.
     *
     * @throws StoreException if the service does not answer
     * @throws IOException if what it holds can't be read
     * @throws InvalidConfigurationException if what it holds has faults
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
     * Puts {@code documents} into force beside those of other names.
     *
     * @param removed names of documents to take out of force
     * @param confirmed version that each host is known to have in force, as far as it is known
     * @return what is in force then
     * @throws PublishConflictException if another publisher changed a document of the same name meanwhile, or shares
     *     would move again before every host has confirmed their last move
     * @throws InvalidConfigurationException if the documents don't fit the others
     * @throws StoreException if the service does not answer; {@link StoreException#mayHaveTakenEffect()} tells whether
     *     the documents may be in force
     * @throws IOException if what it holds can't be read
     */
    public PublishedConfiguration publish(
            Collection<ServiceDocument> documents, Set<String> removed, Map<String, Long> confirmed)
            throws StoreException, IOException, InvalidConfigurationException, PublishConflictException {
        PublishedConfiguration before = current();
        PublishedConfiguration base = before;
        for (int round = 0; round < MAX_CAS_ATTEMPTS; round++) {
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
        throw StoreException.withoutEffect("the manifest kept changing", null);
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

    /** Returns the documents whose division of shares hosts must still take into account. */
    private static Map<String, String> previousDocumentsFor(
            PublishedConfiguration base, FleetConfiguration next, Map<String, Long> confirmed)
            throws InvalidConfigurationException, PublishConflictException {
        if (base.documents().isEmpty()) {
            return Map.of();
        }
        FleetConfiguration current =
                FleetConfiguration.assemble(base.documents().values());
        boolean settled = base.manifest().earlier().isEmpty()
                || current.hosts().stream().allMatch(host -> confirmed.getOrDefault(host, 0L) >= base.revision());
        var before = current.shareHolders();
        var after = next.shareHolders();
        boolean moves = before.keySet().stream()
                .anyMatch(account -> ShareSplit.isMove(before.get(account), after.getOrDefault(account, List.of())));
        if (!moves) {
            return settled ? Map.of() : base.manifest().earlier();
        }
        if (!settled) {
            throw new PublishConflictException(
                    "shares of limits were moved between hosts before, and not every host has"
                            + " confirmed that yet: wait for them, or take hosts that are gone out of the fleet's file first");
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
            // Someone else has written the same content under its hash.
        } catch (StoreException e) {
            if (!e.mayHaveTakenEffect() || store.get(key).isEmpty()) {
                throw e;
            }
        }
    }

    /** Returns the manifest's revision, or empty if what is in force has to be read again. */
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
        boolean allThere = documents.stream()
                .allMatch(document ->
                        document.contentHash().equals(now.manifest().documents().get(document.name())));
        return allThere && removed.stream().noneMatch(now.manifest().documents()::containsKey);
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
            String was = before.manifest().documents().get(name);
            String is = now.manifest().documents().get(name);
            if (was == null ? is != null : !was.equals(is)) {
                throw new PublishConflictException(
                        "\"" + name + "\" was published by someone else meanwhile, in version " + now.revision());
            }
        }
    }

    /**
     * What is in force.
     *
     * @param revision version of the configuration, 0 if there is none
     * @param manifest list of the documents
     * @param documents the documents by name
     */
    public record PublishedConfiguration(long revision, Manifest manifest, Map<String, ServiceDocument> documents) {}
}
