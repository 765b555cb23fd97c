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
 * A version of the configuration together with its sources, so that it can be transferred to a peer.
 *
 * @param version store revision of the manifest
 * @param manifestBytes the manifest as stored
 * @param documents all documents that the manifest refers to, by content hash
 * @param configuration the configuration assembled from the documents
 * @param shares the hosts' shares of each account's limit
 */
public record ConfigurationSnapshot(
        long version,
        byte[] manifestBytes,
        Map<String, ServiceDocument> documents,
        FleetConfiguration configuration,
        ShareTable shares) {

    /**
     * Loads a version.
     *
     * @param previous an earlier version, whose documents are reused where the content hash is the same
     * @param textByHash returns the text of a document by its content hash, or null if it is missing; called only for
     *     documents that the earlier version lacks
     * @throws IOException if the manifest can't be read, or a document is missing or doesn't match its hash
     * @throws InvalidConfigurationException if the documents are invalid
     */
    public static ConfigurationSnapshot load(
            long version,
            byte[] manifestBytes,
            Optional<ConfigurationSnapshot> previous,
            Function<String, String> textByHash)
            throws IOException, InvalidConfigurationException {
        Manifest manifest = Manifest.decode(manifestBytes);
        Map<String, ServiceDocument> previousDocuments =
                previous.map(ConfigurationSnapshot::documents).orElse(Map.of());
        ImmutableMap.Builder<String, ServiceDocument> documents = ImmutableMap.builder();
        for (String hash : manifest.hashes()) {
            documents.put(
                    hash,
                    previousDocuments.containsKey(hash)
                            ? previousDocuments.get(hash)
                            : parse(hash, textByHash.apply(hash)));
        }
        Map<String, ServiceDocument> allDocuments = documents.buildOrThrow();
        FleetConfiguration current = assemble(manifest.documents().values(), allDocuments);
        Map<String, List<HostShare>> earlierHolders = manifest.earlier().isEmpty()
                ? Map.of()
                : assemble(manifest.earlier().values(), allDocuments).shareHolders();
        ShareTable shares = ShareTable.of(version, current.shareHolders(), earlierHolders, current.hosts());
        return new ConfigurationSnapshot(version, manifestBytes.clone(), allDocuments, current, shares);
    }

    private static ServiceDocument parse(String hash, String text) throws IOException, InvalidConfigurationException {
        if (text == null) {
            throw new IOException("document " + hash + " is missing");
        }
        ServiceDocument document = ServiceDocument.parse(hash, text);
        if (!document.contentHash().equals(hash)) {
            throw new IOException(
                    "the content hash of document " + document.name() + " is not the one in the manifest");
        }
        return document;
    }

    private static FleetConfiguration assemble(Collection<String> hashes, Map<String, ServiceDocument> documents)
            throws InvalidConfigurationException {
        return FleetConfiguration.assemble(hashes.stream().map(documents::get).toList());
    }
}
