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
 * One value of a file that differs from what is in force.
 *
 * @param document name of the file
 * @param place JSON Pointer of the value; items of lists go by their names
 * @param before what is in force; null if there is nothing
 * @param after what the file says; null if nothing
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
            collect(JSON.readTree(text), "", leaves);
            return leaves;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a checked document is JSON", e);
        }
    }

    private static void collect(JsonNode node, String place, Map<String, String> leaves) {
        if (node.isObject()) {
            node.properties().forEach(field -> collect(field.getValue(), place + '/' + field.getKey(), leaves));
        } else if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                collect(node.get(i), place + '/' + itemName(node.get(i), i), leaves);
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
