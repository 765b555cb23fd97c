package org.toucanlane.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * The list of hosts, seen some time after it changed.
 *
 * <p>Each entry may hold {@code peerAddressFor}, an object from a viewer to the address under which that viewer reaches
 * the host; that is how a fault-injecting proxy comes between hosts. Thread-safe.
 */
final class HostList {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LAG_NANOS = Duration.ofMillis(700).toNanos();

    private JsonNode before = JSON.createArrayNode();
    private JsonNode now = JSON.createArrayNode();
    private long changedAt = System.nanoTime() - LAG_NANOS;

    synchronized void replace(JsonNode next) {
        before = visible();
        now = next;
        changedAt = System.nanoTime();
    }

    private synchronized JsonNode visible() {
        return System.nanoTime() - changedAt >= LAG_NANOS ? now : before;
    }

    ArrayNode seenBy(String viewer) {
        ArrayNode seen = JSON.createArrayNode();
        for (JsonNode entry : visible()) {
            ObjectNode copy = entry.deepCopy();
            JsonNode special = copy.path("peerAddressFor").path(viewer);
            if (special.isTextual()) {
                copy.put("peerAddress", special.asText());
            }
            copy.remove("peerAddressFor");
            seen.add(copy);
        }
        return seen;
    }
}
