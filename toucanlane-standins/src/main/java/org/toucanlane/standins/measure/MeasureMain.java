package org.toucanlane.standins.measure;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Entry point of {@code bin/measure}, which runs one measurement by its name. */
public final class MeasureMain {

    private static final int EXIT_USAGE = 2;

    @Parameter(description = "NAME")
    private List<String> names = new ArrayList<>();

    @Parameter(names = "--seed", description = "seed for all values drawn at random")
    private long seed = 1;

    @Parameter(names = "--hosts", description = "config: comma-separated numbers of hosts")
    private String hosts = "4,8,16";

    @Parameter(names = "--help", help = true, description = "print this help")
    private boolean help;

    private MeasureMain() {}

    private Map<String, Supplier<Measurement>> measurements() {
        Map<String, Supplier<Measurement>> all = new TreeMap<>();
        all.put("path", RequestPathMeasurement::new);
        all.put("limits", RateLimitMeasurement::new);
        all.put("once", OneTimeActionMeasurement::new);
        all.put("start", StartupMeasurement::new);
        all.put("size", ScaleMeasurement::new);
        all.put("config", () -> new ConfigurationPropagationMeasurement(hosts));
        return all;
    }

    /** Runs one measurement and prints its result as one JSON line. */
    public static void main(String[] args) throws IOException, InterruptedException {
        MeasureMain main = new MeasureMain();
        JCommander parser = JCommander.newBuilder()
                .programName("bin/measure")
                .addObject(main)
                .build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
        Map<String, Supplier<Measurement>> known = main.measurements();
        if (main.help || main.names.size() != 1 || !known.containsKey(main.names.get(0))) {
            parser.usage();
            System.err.println("NAME is one of " + String.join(", ", known.keySet()));
            System.exit(main.help ? 0 : EXIT_USAGE);
        }
        main.measure(known.get(main.names.get(0)).get());
        System.exit(0);
    }

    private void measure(Measurement measurement) throws IOException, InterruptedException {
        Path work = Files.createTempDirectory("toucanlane-measure");
        ObjectNode result = new ObjectMapper().createObjectNode();
        result.put("measurement", names.get(0)).put("seed", seed);
        result.put("cores", Runtime.getRuntime().availableProcessors());
        try {
            measurement.run(work, seed, result);
        } finally {
            try (Stream<Path> files = Files.walk(work)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        System.out.println(result);
    }
}
