package org.toucanlane.domain.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The line on which each value of a JSON text starts, by JSON Pointer (RFC 6901). Immutable.
 */
final class LineIndex {

    private final Map<String, Integer> lines;

    private LineIndex(Map<String, Integer> lines) {
        this.lines = lines;
    }

    /**
     * Indexes a well-formed text.
     *
     * @throws IOException if the text isn't JSON
     */
    static LineIndex of(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            JsonToken token = parser.nextToken();
            while (token != null) {
                JsonPointer pointer = parser.getParsingContext().pathAsPointer();
                lines.putIfAbsent(
                        pointer.toString(), parser.currentTokenLocation().getLineNr());
                token = parser.nextToken();
            }
        }
        return new LineIndex(lines);
    }

    /** Returns the line of the value at {@code pointer}, or of the nearest value around it. */
    int lineOf(String pointer) {
        String place = pointer;
        while (!lines.containsKey(place) && !place.isEmpty()) {
            place = place.substring(0, place.lastIndexOf('/'));
        }
        return lines.getOrDefault(place, 1);
    }
}
