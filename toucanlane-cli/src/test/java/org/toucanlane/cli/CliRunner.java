package org.toucanlane.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Runs the command line and captures the output of the last run. Not thread-safe. */
final class CliRunner {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    ExitCode run(String... arguments) throws InterruptedException {
        out.reset();
        err.reset();
        int code = Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return ExitCode.values()[code];
    }

    String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }
}
