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
    private static final long DELAY_MILLIS = 55;

    /** Time in which the small account's share fills up to what the demonstration spends. */
    private static final long SHARES_FILL_MILLIS = 7_000;

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

    private DemoMain() {}

    /** Runs the demonstration: {@code [instituto|lampara] [--stay]}. */
    public static void main(String[] args) throws IOException, InterruptedException {
        List<String> words =
                Arrays.stream(args).filter(arg -> !arg.startsWith("--")).toList();
        boolean stay = List.of(args).contains("--stay");
        boolean known = Arrays.stream(args).allMatch(arg -> !arg.startsWith("--") || arg.equals("--stay"));
        if (words.size() > 1
                || !known
                || (!words.isEmpty() && !List.of("instituto", "lampara").contains(words.get(0)))) {
            System.err.println("usage: bin/demo [instituto|lampara] [--stay]");
            System.exit(EXIT_USAGE);
        }
        String name = words.isEmpty() ? "instituto" : words.get(0);
        Path work = Files.createTempDirectory("toucanlane-demo");
        boolean good = false;
        try {
            good = run(name, work, stay);
        } finally {
            if (good) {
                delete(work);
            } else {
                System.out.println("logs are in " + work);
            }
        }
        System.exit(good ? 0 : EXIT_FAILED);
    }

    private static boolean run(String name, Path work, boolean stay) throws IOException, InterruptedException {
        DemoPlan plan = DemoPlan.valueOf(name.toUpperCase(Locale.ROOT));
        long started = System.nanoTime();
        try (Deployment deployment =
                Deployment.prepare(Path.of("examples", name), work, EngineOptions.defaults(), JAVA_OPTIONS)) {
            Thread end = new Thread(deployment::close);
            Runtime.getRuntime().addShutdownHook(end);
            deployment.setDelayBetweenDataCentres(DELAY_MILLIS, plan.home());
            DemoSteps steps = start(deployment, plan);
            System.out.printf("started in %.1f s: %s%n%n", (System.nanoTime() - started) / 1e9, deployment);
            List<String> failures = steps.run();
            System.out.printf(
                    "%n%s after %.1f s%n",
                    failures.isEmpty() ? "all steps did as they should" : failures.size() + " steps FAILED",
                    (System.nanoTime() - started) / 1e9);
            if (stay) {
                stay(deployment, plan);
            }
            Runtime.getRuntime().removeShutdownHook(end);
            return failures.isEmpty();
        }
    }

    private static DemoSteps start(Deployment deployment, DemoPlan plan) throws IOException, InterruptedException {
        deployment.startHosts();
        String large = deployment.issueKey(plan.accounts().large());
        String bound = deployment.issueKey(plan.accounts().bound());
        String small = deployment.issueKey(plan.accounts().small());
        Deployment.CommandResult published = deployment.runCommand(
                "publish", deployment.serviceFolders().root().toString());
        if (published.exitCode() != 0) {
            throw new IllegalStateException("publish failed: " + published.errors());
        }
        deployment.awaitReady();
        Thread.sleep(SHARES_FILL_MILLIS);
        return new DemoSteps(deployment, plan, large, bound, small);
    }

    private static void stay(Deployment deployment, DemoPlan plan) throws IOException, InterruptedException {
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
