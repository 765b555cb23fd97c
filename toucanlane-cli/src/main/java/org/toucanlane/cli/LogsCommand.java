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

/** Puts what the logs of several hosts say of one request into the order of time. */
@Parameters(
        commandDescription = "trace REQUEST FILE...: what the logs of hosts say of a request, and of the hosts and"
                + " endpoints that it was sent to")
final class LogsCommand implements Command {

    private static final int MIN_TRACE_ARGUMENTS = 3;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Time before a request's last line in which changes of belief are told: longer than most requests take. */
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
                    "no line of " + lines.size() + " is of request " + request
                            + "; look at dropped_before for lines that were left out");
        }
        List<Line> story = linesToShow(lines, own);
        if (options.isJson()) {
            out.printJson(story.stream().map(Line::json).toList());
        } else {
            out.printTable(
                    List.of("TIME", "HOST", "EVENT", "WHAT"),
                    story.stream().map(Line::row).toList());
        }
        return ExitCode.DONE;
    }

    /** Returns the request's lines, and shortly before them what became known of its hosts and endpoints. */
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

    /** Reads the lines of one host; what a log collector has put before the objects is passed over. */
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

    /** A line that was cut when its process ended is no reason to tell nothing of the others. */
    private static Optional<JsonNode> parse(String text) {
        try {
            return Optional.of(JSON.readTree(text));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** One line of a host. */
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

        /** Returns whether it tells something of one of {@code names}, or of the store by one of them. */
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
