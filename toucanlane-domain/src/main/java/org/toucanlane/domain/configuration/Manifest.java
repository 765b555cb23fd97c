package org.toucanlane.domain.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableSortedMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The documents that make up one version of the configuration, by content hash.
 *
 * @param documents content hash of each document, by name
 * @param earlier the same for the version that preceded the last move of shares between hosts; empty if there is
 *     no such move to consider
 */
public record Manifest(Map<String, String> documents, Map<String, String> earlier) {

    /** Key of the manifest in the key-value store. */
    public static final String STORE_KEY = "config/manifest";

    /** Prefix of the keys of documents in the key-value store, followed by the content hash. */
    public static final String CHUNK_PREFIX = "config/chunk/";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Creates a manifest. */
    public Manifest {
        documents = ImmutableSortedMap.copyOf(documents);
        earlier = ImmutableSortedMap.copyOf(earlier);
    }

    /** Returns a manifest without documents. */
    public static Manifest empty() {
        return new Manifest(Map.of(), Map.of());
    }

    /** Serializes the manifest for the store. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Deserializes a stored manifest.
     *
     * @throws IOException if {@code bytes} is not a manifest
     */
    public static Manifest decode(byte[] bytes) throws IOException {
        return JSON.readValue(bytes, Manifest.class);
    }

    /** Returns the content hashes of all referenced documents, including those of the earlier version. */
    public Set<String> hashes() {
        Set<String> hashes = new TreeSet<>(documents.values());
        hashes.addAll(earlier.values());
        return hashes;
    }

    /** Returns the store key of the document with the content hash {@code hash}. */
    public static String chunkKey(String hash) {
        return CHUNK_PREFIX + hash;
    }
}
