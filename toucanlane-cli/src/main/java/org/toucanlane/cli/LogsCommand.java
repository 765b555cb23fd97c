package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Merges the log lines of several hosts that concern one request, in chronological order. */
@Parameters(
        commandDescription = "trace REQUEST FILE...: merge the logs of hosts about a request and about the hosts and"
                + " endpoints that it was sent to")
final class LogsCommand implements Command {

    private static final int MIN_TRACE_ARGUMENTS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Period before the last line of a request in which state changes are shown; longer than most requests take. */
    private static final long CONTEXT_MILLIS = 10_000;

    private static final Set<String> HIDDEN_FIELDS = Set.of("at", "level", "logger", "event", "request");

    @Parameter(description = "trace REQUEST FILE...", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        if (arguments.size() < MIN_TRACE_ARGUMENTS || !arguments.get(0).equals("trace")) {
            throw new CommandFailedException(ExitCode.USAGE, "logs takes \"trace REQUEST FILE...\"");
        }
        String request = arguments.get(1);
        List<Line> lines = new ArrayList<>();
        for (String file : arguments.subList(2, arguments.size())) {
            lines.addAll(readLines(Path.of(file)));
        }
        List<Line> own = lines.stream().filter(line -> line.belongsTo(request)).toList();
        if (own.isEmpty()) {
            throw new CommandFailedException(
                    ExitCode.FAILED,
                    "no line of " + lines.size() + " belongs to request " + request
                            + "; look at dropped_before for lines that were omitted");
        }
        List<Line> shown = linesToShow(lines, own);
        if (options.isJson()) {
            out.printJson(shown.stream().map(Line::json).toList());
        } else {
            out.printTable(
                    List.of("TIME", "HOST", "EVENT", "WHAT"),
                    shown.stream().map(Line::row).toList());
        }
        return ExitCode.DONE;
    }

    /** Returns the lines of the request, and the state changes of its hosts and endpoints shortly before its end. */
    private static List<Line> linesToShow(List<Line> lines, List<Line> own) {
        Set<String> names = own.stream()
                .flatMap(line -> Stream.of(line.host(), line.text("upstream"), line.text("from")))
                .filter(name -> !name.isEmpty())
                .collect(Collectors.toSet());
        long last = own.stream().mapToLong(Line::at).max().orElseThrow();
        return lines.stream()
                .filter(line -> own.contains(line) || line.isStateChangeOf(names) && line.isWithinContext(last))
                .sorted(Comparator.comparingLong(Line::at))
                .toList();
    }

    /** Reads the log file of one host. Skips any prefix that a log collector put before the JSON object of a line. */
    private static List<Line> readLines(Path file) throws IOException {
        List<JsonNode> objects = new ArrayList<>();
        for (String text : Files.readAllLines(file)) {
            int start = text.indexOf("{\"");
            if (start >= 0) {
                parse(text.substring(start)).ifPresent(objects::add);
            }
        }
        String host = objects.stream()
                .filter(json -> json.path("event").asText().equals("host_started"))
                .map(json -> json.path("host").asText())
                .findFirst()
                .orElse(file.getFileName().toString());
        return objects.stream().map(json -> new Line(host, json)).toList();
    }

    /** Returns an empty value for a line that was cut off when its process ended, so that the others still count. */
    private static Optional<JsonNode> parse(String text) {
        try {
            return Optional.of(JSON.readTree(text));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Log line of a host. */
    private record Line(String host, JsonNode json) {

        private static final Set<String> HOST_WIDE_EVENTS = Set.of("store_lost", "store_regained", "clocks_disagree");

        private boolean belongsTo(String request) {
            return json.path("request").asText().equals(request);
        }

        private long at() {
            return json.path("at").asLong();
        }

        private String text(String field) {
            return json.path(field).asText("");
        }

        private boolean isWithinContext(long last) {
            return at() <= last && at() >= last - CONTEXT_MILLIS;
        }

        /** Returns whether this line is a state change of one of {@code names}, or a host-wide event logged by one. */
        private boolean isStateChangeOf(Set<String> names) {
            return !json.has("request")
                    && (names.contains(text("endpoint"))
                            || names.contains(text("host"))
                            || names.contains(host) && HOST_WIDE_EVENTS.contains(text("event")));
        }

        private List<String> row() {
            Set<String> shown = new HashSet<>();
            json.fieldNames().forEachRemaining(shown::add);
            shown.removeAll(HIDDEN_FIELDS);
            String what = json.properties().stream()
                    .filter(field -> shown.contains(field.getKey()))
                    .map(field -> field.getKey() + '=' + field.getValue().asText())
                    .collect(Collectors.joining(" "));
            return List.of(Instant.ofEpochMilli(at()).toString(), host, text("event"), what);
        }
    }
}
