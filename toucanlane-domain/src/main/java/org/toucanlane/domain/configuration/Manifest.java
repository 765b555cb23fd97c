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
 * The list of documents that make up one version of the configuration.
 *
 * @param documents content hash of each document, by name
 * @param earlier the same for the version before the last one that moved shares between hosts; empty if none did
 */
public record Manifest(Map<String, String> documents, Map<String, String> earlier) {

    /** Key of the manifest in the platform's service. */
    public static final String STORE_KEY = "config/manifest";

    /** Start of the keys of documents in the platform's service; the content hash follows. */
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

    /** Returns the stored form. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Reads the stored form.
     *
     * @throws IOException if {@code bytes} is not a manifest
     */
    public static Manifest decode(byte[] bytes) throws IOException {
        return JSON.readValue(bytes, Manifest.class);
    }

    /** Returns the content hashes of all documents needed, those of the earlier version included. */
    public Set<String> hashes() {
        Set<String> hashes = new TreeSet<>(documents.values());
        hashes.addAll(earlier.values());
        return hashes;
    }

    /** Returns the key under which the document with {@code hash} is stored. */
    public static String chunkKey(String hash) {
        return CHUNK_PREFIX + hash;
    }
}
