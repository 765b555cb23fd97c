package org.toucanlane.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;

/**
 * A host list whose changes become visible after a delay.
 *
 * <p>An entry may contain {@code peerAddressFor}, an object that maps a viewing host to the address at which it reaches
 * the listed host. With it, connections between hosts go through a fault-injecting proxy. Thread-safe.
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
        ArrayNode view = JSON.createArrayNode();
        for (JsonNode entry : visibleList()) {
            ObjectNode copy = entry.deepCopy();
            JsonNode viewerAddress = copy.path("peerAddressFor").path(viewer);
            if (viewerAddress.isTextual()) {
                copy.put("peerAddress", viewerAddress.asText());
            }
            copy.remove("peerAddressFor");
            view.add(copy);
        }
        return view;
    }
}
