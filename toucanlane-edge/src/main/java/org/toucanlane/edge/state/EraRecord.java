package org.toucanlane.edge.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * The record by which a host that starts learns how long the current era of the store has lasted. Hosts write it without
 * a lease, so it outlives all of them. Immutable.
 *
 * @param era era in which the record was written
 * @param writtenAtMillis time of writing, in Unix milliseconds
 */
public record EraRecord(long era, long writtenAtMillis) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Encodes the record as UTF-8 JSON. */
    public byte[] encode() {
        return JSON.createObjectNode()
                .put("era", era)
                .put("writtenAtMillis", writtenAtMillis)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes a record from JSON.
     *
     * @throws IOException if the bytes are not a valid record
     */
    public static EraRecord decode(byte[] bytes) throws IOException {
        JsonNode node = JSON.readTree(bytes);
        if (!node.path("era").isIntegralNumber()
                || !node.path("writtenAtMillis").isIntegralNumber()) {
            throw new IOException("era record lacks an integral era or writtenAtMillis: " + node);
        }
        return new EraRecord(
                node.path("era").asLong(), node.path("writtenAtMillis").asLong());
    }
}
