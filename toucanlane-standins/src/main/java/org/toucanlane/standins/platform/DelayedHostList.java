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
final class DelayedHostList {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long VISIBILITY_DELAY_NANOS = Duration.ofMillis(700).toNanos();

    private JsonNode previous = JSON.createArrayNode();
    private JsonNode current = JSON.createArrayNode();
    private long changedAtNanos = System.nanoTime() - VISIBILITY_DELAY_NANOS;

    synchronized void replace(JsonNode next) {
        previous = visibleList();
        current = next;
        changedAtNanos = System.nanoTime();
    }

    private synchronized JsonNode visibleList() {
        return System.nanoTime() - changedAtNanos >= VISIBILITY_DELAY_NANOS ? current : previous;
    }

    ArrayNode viewFor(String viewer) {
        ArrayNode seen = JSON.createArrayNode();
        for (JsonNode entry : visibleList()) {
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
