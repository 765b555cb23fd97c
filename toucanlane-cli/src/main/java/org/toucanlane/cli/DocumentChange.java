package org.toucanlane.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.toucanlane.domain.configuration.ServiceDocument;
import org.toucanlane.platform.publish.ConfigurationPublisher;

/**
 * Difference of one value between a configuration file and the configuration in force.
 *
 * @param document name of the document
 * @param place JSON Pointer to the value; array elements are identified by name or id, if they have one
 * @param before value in force as JSON; null if the value is new
 * @param after value in the file as JSON; null if the value is removed
 */
record DocumentChange(String document, String place, String before, String after) {

    private static final ObjectMapper JSON = new ObjectMapper();

    static List<DocumentChange> between(
            ConfigurationPublisher.PublishedConfiguration current, Collection<ServiceDocument> documents) {
        List<DocumentChange> changes = new ArrayList<>();
        for (ServiceDocument document : documents) {
            ServiceDocument old = current.documents().get(document.name());
            Map<String, String> before = old == null ? Map.of() : leaves(old.text());
            Map<String, String> after = leaves(document.text());
            TreeMap<String, String> places = new TreeMap<>(before);
            places.putAll(after);
            places.keySet().stream()
                    .filter(place -> !Objects.equals(before.get(place), after.get(place)))
                    .map(place -> new DocumentChange(document.name(), place, before.get(place), after.get(place)))
                    .forEach(changes::add);
        }
        return changes;
    }

    private static Map<String, String> leaves(String text) {
        try {
            Map<String, String> leaves = new TreeMap<>();
            collectLeaves(JSON.readTree(text), "", leaves);
            return leaves;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("validated document is not JSON", e);
        }
    }

    private static void collectLeaves(JsonNode node, String place, Map<String, String> leaves) {
        if (node.isObject()) {
            node.properties().forEach(field -> collectLeaves(field.getValue(), place + '/' + field.getKey(), leaves));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                collectLeaves(node.get(i), place + '/' + itemName(node.get(i), i), leaves);
            }
        } else {
            leaves.put(place, node.toString());
        }
    }

    private static String itemName(JsonNode item, int index) {
        JsonNode name = item.has("name") ? item.path("name") : item.path("id");
        return name.isTextual() ? name.asText() : Integer.toString(index);
    }

    String describe() {
        if (before == null) {
            return "+ " + document + place + " = " + after;
        }
        if (after == null) {
            return "- " + document + place + " = " + before;
        }
        return "~ " + document + place + ": " + before + " -> " + after;
    }
}
