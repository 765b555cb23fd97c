package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Shows the measured rounds of a benchmark journal: worth, broken rules and the largest price. */
@Parameters(commandDescription = "JOURNAL: worth, broken rules and largest price of each day that was measured")
final class ReportCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PLOT_WIDTH = 1_000;
    private static final int PLOT_HEIGHT = 600;

    /** Minimum number of rounds for a day to be plotted as a line. */
    private static final int MIN_PLOTTED_ROUNDS = 2;

    @Parameter(description = "JOURNAL", required = true)
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--site", description = "only this site")
    private String site;

    @Parameter(names = "--plot", description = "write a plot of the worth over rounds to this PNG file")
    private String plot;

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException, IOException {
        if (arguments.size() != 1 || !Files.isDirectory(Path.of(arguments.get(0)))) {
            throw new CommandFailedException(ExitCode.USAGE, "report takes one folder with a journal");
        }
        List<Round> rounds = readRounds(Path.of(arguments.get(0)), out).stream()
                .filter(round -> site == null || round.site().equals(site))
                .sorted(Comparator.comparing(Round::at))
                .toList();
        if (rounds.isEmpty()) {
            throw new CommandFailedException(ExitCode.FAILED, "no measured days in " + arguments.get(0));
        }
        if (options.isJson()) {
            out.printJson(rounds);
        } else {
            out.printTable(
                    List.of("TIME", "SITE", "DAY", "WORTH", "MARK", "RULES BROKEN", "LARGEST PRICE", "WHY"),
                    rounds.stream().map(Round::row).toList());
        }
        if (plot != null) {
            writePlot(rounds, Path.of(plot));
            out.printDiagnostic("plot written to " + plot);
        }
        return ExitCode.DONE;
    }

    private static List<Round> readRounds(Path journal, Output out) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(journal)) {
            files = all.filter(file -> file.toString().endsWith(".json")).toList();
        }
        List<Round> rounds = new ArrayList<>();
        for (Path file : files) {
            try {
                JsonNode entry = JSON.readTree(file.toFile());
                entry.path("days").forEach(day -> Round.of(entry, day).ifPresent(rounds::add));
            } catch (IOException e) {
                out.printDiagnostic(file + " can't be read and is left out: " + e.getMessage());
            }
        }
        return rounds;
    }

    private static void writePlot(List<Round> rounds, Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(PLOT_WIDTH)
                .height(PLOT_HEIGHT)
                .title("worth over rounds")
                .xAxisTitle("round")
                .yAxisTitle("worth")
                .build();
        Map<String, List<Double>> byDay = rounds.stream()
                .collect(Collectors.groupingBy(
                        round -> round.site() + ' ' + round.day(),
                        LinkedHashMap::new,
                        Collectors.mapping(Round::worth, Collectors.toList())));
        byDay.values().removeIf(worths -> worths.size() < MIN_PLOTTED_ROUNDS);
        byDay.forEach((name, worths) -> chart.addSeries(
                        name,
                        IntStream.rangeClosed(1, worths.size()).asDoubleStream().toArray(),
                        worths.stream().mapToDouble(Double::doubleValue).toArray())
                .setMarker(SeriesMarkers.CIRCLE));
        if (byDay.isEmpty()) {
            throw new IOException("nothing to plot: no day was measured twice");
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Result of one day of a journal entry. */
    private record Round(
            String at, String site, String day, double worth, double mark, String rules, String price, String why) {

        private static Optional<Round> of(JsonNode entry, JsonNode day) {
            // "G" is the worth after prices have been subtracted; "top" is the value of a full score.
            if (!day.path("G").isNumber()) {
                return Optional.empty();
            }
            List<String> rules = new ArrayList<>();
            day.path("rules").fieldNames().forEachRemaining(rules::add);
            return Optional.of(new Round(
                    entry.path("at").path(0).asText(),
                    entry.path("site").asText(),
                    day.path("name").asText(),
                    day.path("G").asDouble(),
                    day.path("top").asDouble(),
                    String.join(" ", rules),
                    largestPrice(day.path("prices")),
                    entry.path("why").asText()));
        }

        /** Returns the price with the largest deduction. A price is an array of name, amount and deduction. */
        private static String largestPrice(JsonNode prices) {
            JsonNode largest = null;
            for (JsonNode price : prices) {
                boolean more = largest == null
                        || price.path(2).asDouble() > largest.path(2).asDouble();
                largest = more ? price : largest;
            }
            return largest == null
                    ? ""
                    : String.format(
                            Locale.ROOT,
                            "%.3f %s",
                            largest.path(2).asDouble(),
                            largest.path(0).asText());
        }

        private List<String> row() {
            return List.of(
                    at,
                    site,
                    day,
                    String.format(Locale.ROOT, "%.3f", worth),
                    String.format(Locale.ROOT, "%.3f", mark),
                    rules,
                    price,
                    why);
        }
    }
}
