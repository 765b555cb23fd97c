package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** Prints a shell completion script. */
@Parameters(commandDescription = "bash: print a completion script for the shell to source")
final class CompletionCommand implements Command {

    @Parameter(description = "bash", required = true)
    private List<String> arguments = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out) throws CommandFailedException {
        if (!arguments.equals(List.of("bash"))) {
            throw new CommandFailedException(ExitCode.USAGE, "completion takes \"bash\"");
        }
        out.printLine("complete -o default -W \"" + String.join(" ", Main.commandNames()) + "\" toucanlane");
        return ExitCode.DONE;
    }
}
