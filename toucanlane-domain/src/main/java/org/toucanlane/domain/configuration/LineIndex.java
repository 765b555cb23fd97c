package org.toucanlane.domain.configuration;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Maps each value of a JSON text, by JSON Pointer (RFC 6901), to the line on which it starts. Immutable.
 */
final class LineIndex {

    private final Map<String, Integer> lines;

    private LineIndex(Map<String, Integer> lines) {
        this.lines = lines;
    }

    /**
     * Indexes a JSON text.
     *
     * @throws IOException if the text isn't well-formed JSON
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

    /** Returns the line of the value at {@code pointer}, or of its nearest enclosing value. */
    int lineOf(String pointer) {
        String candidate = pointer;
        while (!lines.containsKey(candidate) && !candidate.isEmpty()) {
            candidate = candidate.substring(0, candidate.lastIndexOf('/'));
        }
        return lines.getOrDefault(candidate, 1);
    }
}
