package org.toucanlane.standins.demo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.fleet.Deployment;
import org.toucanlane.standins.fleet.HostProcess;

/** Entry point of {@code bin/demo}. */
public final class DemoMain {

    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final long INTER_DATA_CENTRE_DELAY_MILLIS = 55;

    /** Time after which the token share of the small account holds as many tokens as the steps spend. */
    private static final long SHARE_FILL_MILLIS = 7_000;

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

    private DemoMain() {}

    /**
     * Runs the demonstration. The arguments are {@code [instituto|lampara] [--stay]}; with {@code --stay} the
     * deployment keeps running after the steps until Enter is pressed.
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        List<String> names =
                Arrays.stream(args).filter(arg -> !arg.startsWith("--")).toList();
        boolean keepRunning = List.of(args).contains("--stay");
        boolean flagsKnown = Arrays.stream(args).allMatch(arg -> !arg.startsWith("--") || arg.equals("--stay"));
        if (names.size() > 1
                || !flagsKnown
                || (!names.isEmpty() && !List.of("instituto", "lampara").contains(names.get(0)))) {
            System.err.println("usage: bin/demo [instituto|lampara] [--stay]");
            System.exit(EXIT_USAGE);
        }
        String name = names.isEmpty() ? "instituto" : names.get(0);
        Path work = Files.createTempDirectory("toucanlane-demo");
        boolean succeeded = false;
        try {
            succeeded = run(name, work, keepRunning);
        } finally {
            if (succeeded) {
                delete(work);
            } else {
                System.out.println("logs are in " + work);
            }
        }
        System.exit(succeeded ? 0 : EXIT_FAILED);
    }

    private static boolean run(String name, Path work, boolean keepRunning) throws IOException, InterruptedException {
        DemoPlan plan = DemoPlan.valueOf(name.toUpperCase(Locale.ROOT));
        long started = System.nanoTime();
        try (Deployment deployment =
                Deployment.prepare(Path.of("examples", name), work, EngineOptions.defaults(), JAVA_OPTIONS)) {
            Thread shutdownHook = new Thread(deployment::close);
            Runtime.getRuntime().addShutdownHook(shutdownHook);
            deployment.setDelayBetweenDataCentres(INTER_DATA_CENTRE_DELAY_MILLIS, plan.callerDataCentre());
            DemoSteps steps = start(deployment, plan);
            System.out.printf("started in %.1f s: %s%n%n", (System.nanoTime() - started) / 1e9, deployment);
            List<String> failures = steps.run();
            System.out.printf(
                    "%n%s after %.1f s%n",
                    failures.isEmpty() ? "all steps did as they should" : failures.size() + " steps FAILED",
                    (System.nanoTime() - started) / 1e9);
            if (keepRunning) {
                waitForEnter(deployment, plan);
            }
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            return failures.isEmpty();
        }
    }

    private static DemoSteps start(Deployment deployment, DemoPlan plan) throws IOException, InterruptedException {
        deployment.startHosts();
        String largeKey = deployment.issueKey(plan.accounts().large());
        String boundKey = deployment.issueKey(plan.accounts().regionBound());
        String smallKey = deployment.issueKey(plan.accounts().small());
        Deployment.CommandResult published = deployment.runCommand(
                "publish", deployment.serviceFolders().root().toString());
        if (published.exitCode() != 0) {
            throw new IllegalStateException("publish failed: " + published.errors());
        }
        deployment.awaitReady();
        Thread.sleep(SHARE_FILL_MILLIS);
        return new DemoSteps(deployment, plan, largeKey, boundKey, smallKey);
    }

    private static void waitForEnter(Deployment deployment, DemoPlan plan) throws IOException, InterruptedException {
        String key = deployment.issueKey(plan.accounts().large());
        deployment.publish();
        System.out.println("\nplatform        " + deployment.platformAddress());
        for (HostProcess host : deployment.hosts().values()) {
            System.out.printf("%-15s %s  admin %s%n", host.name(), host.callerUri(), host.adminUri());
        }
        HostProcess first = deployment.hosts().values().iterator().next();
        System.out.printf(
                "%ntry: curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "
                        + "-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\","
                        + "\"content\":\"hello\"}]}'%n%npress Enter to end it all%n",
                first.callerUri(), key, plan.models().small());
        System.in.read();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
