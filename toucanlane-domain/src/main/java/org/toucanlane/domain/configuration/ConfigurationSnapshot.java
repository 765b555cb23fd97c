package org.toucanlane.domain.configuration;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.coordination.share.ShareTable;

/**
 * One version of the configuration with all that it was made from, so that it can be handed to a peer.
 *
 * @param version revision of the manifest
 * @param manifestBytes the manifest as stored
 * @param documents all its documents, by content hash
 * @param configuration the documents put together
 * @param shares who holds which share
 */
public record ConfigurationSnapshot(
        long version,
        byte[] manifestBytes,
        Map<String, ServiceDocument> documents,
        FleetConfiguration configuration,
        ShareTable shares) {

    /**
     * Puts a version together.
     *
     * @param previous an earlier version, whose documents are used again as far as they are the same
     * @param texts returns the text of a document by its content hash, or null if it is missing; asked only for those
     *     that the earlier version does not have
     * @throws IOException if the manifest can't be read or a document is missing or isn't the one that its hash names
     * @throws InvalidConfigurationException if a document has faults
     */
    public static ConfigurationSnapshot load(
            long version,
            byte[] manifestBytes,
            Optional<ConfigurationSnapshot> previous,
            Function<String, String> texts)
            throws IOException, InvalidConfigurationException {
        Manifest manifest = Manifest.decode(manifestBytes);
        Map<String, ServiceDocument> known =
                previous.map(ConfigurationSnapshot::documents).orElse(Map.of());
        ImmutableMap.Builder<String, ServiceDocument> documents = ImmutableMap.builder();
        for (String hash : manifest.hashes()) {
            documents.put(hash, known.containsKey(hash) ? known.get(hash) : parse(hash, texts.apply(hash)));
        }
        Map<String, ServiceDocument> all = documents.buildOrThrow();
        FleetConfiguration current = assemble(manifest.documents().values(), all);
        Map<String, List<HostShare>> earlier = manifest.earlier().isEmpty()
                ? Map.of()
                : assemble(manifest.earlier().values(), all).shareHolders();
        ShareTable shares = ShareTable.of(version, current.shareHolders(), earlier, current.hosts());
        return new ConfigurationSnapshot(version, manifestBytes.clone(), all, current, shares);
    }

    private static ServiceDocument parse(String hash, String text) throws IOException, InvalidConfigurationException {
        if (text == null) {
            throw new IOException("document " + hash + " is missing");
        }
        ServiceDocument document = ServiceDocument.parse(hash, text);
        if (!document.contentHash().equals(hash)) {
            throw new IOException("document " + document.name() + " is not the one that its hash names");
        }
        return document;
    }

    private static FleetConfiguration assemble(Collection<String> hashes, Map<String, ServiceDocument> documents)
            throws InvalidConfigurationException {
        return FleetConfiguration.assemble(hashes.stream().map(documents::get).toList());
    }
}
