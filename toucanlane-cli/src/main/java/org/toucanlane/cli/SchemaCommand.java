package org.toucanlane.cli;

import com.beust.jcommander.Parameters;
import org.toucanlane.domain.configuration.ServiceDocument;

/** Prints the JSON Schema of configuration files. */
@Parameters(commandDescription = "print the JSON Schema of the files, for editors")
final class SchemaCommand implements Command {

    @Override
    public ExitCode run(GlobalOptions options, Output out) {
        out.printLine(ServiceDocument.schemaText());
        return ExitCode.DONE;
    }
}
