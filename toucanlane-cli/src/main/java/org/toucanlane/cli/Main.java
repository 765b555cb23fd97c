package org.toucanlane.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.platform.publish.PublishConflictException;

/** Entry point of {@code toucanlane}. */
public final class Main {

    private static final Map<String, Supplier<Command>> COMMANDS = commands();

    private Main() {}

    private static Map<String, Supplier<Command>> commands() {
        Map<String, Supplier<Command>> commands = new LinkedHashMap<>();
        commands.put("validate", ValidateCommand::new);
        commands.put("check", CheckCommand::new);
        commands.put("diff", DiffCommand::new);
        commands.put("publish", PublishCommand::new);
        commands.put("status", StatusCommand::new);
        commands.put("account", AccountCommand::new);
        commands.put("key", KeyCommand::new);
        commands.put("route", RouteCommand::new);
        commands.put("host", HostCommand::new);
        commands.put("logs", LogsCommand::new);
        commands.put("report", ReportCommand::new);
        commands.put("schema", SchemaCommand::new);
        commands.put("completion", CompletionCommand::new);
        return commands;
    }

    static List<String> commandNames() {
        return List.copyOf(COMMANDS.keySet());
    }

    /** Runs the command line and exits the process with its exit code. */
    public static void main(String[] args) throws InterruptedException {
        System.exit(run(args, System.out, System.err));
    }

    /** Runs the command line and returns its exit code. */
    public static int run(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
        GlobalOptions options = new GlobalOptions();
        JCommander parser = JCommander.newBuilder()
                .programName("toucanlane")
                .addObject(options)
                .build();
        Map<String, Command> commands = new LinkedHashMap<>();
        COMMANDS.forEach((name, supplier) -> commands.put(name, supplier.get()));
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            err.println("toucanlane: " + e.getMessage());
            err.println("see toucanlane --help");
            return ExitCode.USAGE.code();
        }
        if (options.isVersion()) {
            out.println("toucanlane " + version());
            return ExitCode.DONE.code();
        }
        if (options.isHelp() || parser.getParsedCommand() == null) {
            printHelp(parser, out);
            return options.isHelp() ? ExitCode.DONE.code() : ExitCode.USAGE.code();
        }
        return runCommand(commands.get(parser.getParsedCommand()), options, new Output(out, err))
                .code();
    }

    private static String version() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    private static void printHelp(JCommander parser, PrintStream out) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        out.print(text);
        out.println("  Exit codes:");
        Arrays.stream(ExitCode.values()).forEach(code -> out.println("    " + code.code() + "  " + code.meaning()));
    }

    private static ExitCode runCommand(Command command, GlobalOptions options, Output out) throws InterruptedException {
        try {
            return command.run(options, out);
        } catch (CommandFailedException e) {
            out.printDiagnostic("toucanlane: " + e.getMessage());
            return e.exitCode();
        } catch (InvalidConfigurationException e) {
            e.problems().forEach(problem -> out.printDiagnostic(problem.toString()));
            return ExitCode.INVALID;
        } catch (PublishConflictException e) {
            out.printDiagnostic("toucanlane: " + e.getMessage());
            return ExitCode.CONFLICT;
        } catch (StoreException e) {
            String hint =
                    e.mayHaveTakenEffect() ? "; the change may have taken effect: check with toucanlane diff" : "";
            out.printDiagnostic("toucanlane: " + e.getMessage() + hint);
            return ExitCode.FAILED;
        } catch (IOException e) {
            out.printDiagnostic("toucanlane: " + e);
            return ExitCode.FAILED;
        }
    }
}
