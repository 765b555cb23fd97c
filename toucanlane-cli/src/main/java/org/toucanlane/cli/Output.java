package org.toucanlane.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Prints results as text, tables or JSON to one stream, and progress and errors to another. Not thread-safe. */
final class Output {

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private final PrintStream out;
    private final PrintStream err;

    Output(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    void printLine(String text) {
        out.println(text);
    }

    void printDiagnostic(String text) {
        err.println(text);
    }

    void printJson(Object value) throws IOException {
        out.println(JSON.writeValueAsString(value));
    }

    /** Prints a table whose columns are as wide as their longest cell. */
    void printTable(List<String> header, List<List<String>> rows) {
        List<List<String>> all = new ArrayList<>();
        all.add(header);
        all.addAll(rows);
        int[] widths = IntStream.range(0, header.size())
                .map(column -> all.stream()
                        .mapToInt(row -> row.get(column).length())
                        .max()
                        .orElse(0))
                .toArray();
        for (List<String> row : all) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < widths.length; column++) {
                line.append(String.format("%-" + (widths[column] + 2) + "s", row.get(column)));
            }
            out.println(line.toString().stripTrailing());
        }
    }
}
