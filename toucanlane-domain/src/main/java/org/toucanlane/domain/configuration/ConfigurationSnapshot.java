package org.toucanlane.domain.configuration;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.coordination.share.ShareTable;

/**
 * One version of the configuration with all that it was made from, so that it can be handed to a peer.
 *
 * @param version revision of the manifest
 * @param manifestBytes the manifest as stored
 * @param chunks texts of all its documents, by content hash
 * @param configuration the documents put together
 * @param shares who holds which share
 */
public record ConfigurationSnapshot(
        long version,
        byte[] manifestBytes,
        Map<String, String> chunks,
        FleetConfiguration configuration,
        ShareTable shares) {

    /**
     * Puts a version together.
     *
     * @param chunks returns the text of a document by its content hash, or null if it is missing
     * @throws IOException if the manifest can't be read or a document is missing or isn't the one that its hash names
     * @throws InvalidConfigurationException if a document has faults
     */
    public static ConfigurationSnapshot load(long version, byte[] manifestBytes, Function<String, String> chunks)
            throws IOException, InvalidConfigurationException {
        Manifest manifest = Manifest.decode(manifestBytes);
        ImmutableMap.Builder<String, String> texts = ImmutableMap.builder();
        for (String hash : manifest.hashes()) {
            String text = chunks.apply(hash);
            if (text == null) {
                throw new IOException("document " + hash + " of version " + version + " is missing");
            }
            texts.put(hash, text);
        }
        Map<String, String> all = texts.buildOrThrow();
        FleetConfiguration current = assemble(manifest.documents(), all);
        Map<String, List<HostShare>> earlier = manifest.earlier().isEmpty()
                ? Map.of()
                : assemble(manifest.earlier(), all).shareHolders();
        ShareTable shares = ShareTable.of(version, current.shareHolders(), earlier, current.hosts());
        return new ConfigurationSnapshot(version, manifestBytes.clone(), all, current, shares);
    }

    private static FleetConfiguration assemble(Map<String, String> documents, Map<String, String> texts)
            throws IOException, InvalidConfigurationException {
        List<ServiceDocument> parsed = new ArrayList<>();
        for (Map.Entry<String, String> entry : documents.entrySet()) {
            ServiceDocument document = ServiceDocument.parse(entry.getKey(), texts.get(entry.getValue()));
            if (!document.contentHash().equals(entry.getValue())) {
                throw new IOException("document " + entry.getKey() + " is not the one that its hash names");
            }
            parsed.add(document);
        }
        return FleetConfiguration.assemble(parsed);
    }
}
