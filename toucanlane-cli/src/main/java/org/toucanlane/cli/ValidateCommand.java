package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;

/** Validates configuration files without publishing them. */
@Parameters(commandDescription = "check files individually and as a whole")
final class ValidateCommand implements Command {

    @Parameter(description = "FOLDER...", required = true)
    private List<String> folders = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InvalidConfigurationException {
        List<ServiceDocument> documents = ServiceFiles.read(folders);
        FleetConfiguration configuration = FleetConfiguration.assemble(documents);
        out.printLine(documents.size() + " files are good: "
                + configuration.accounts().size() + " accounts, "
                + configuration.routes().size() + " routes, "
                + configuration.endpoints().size() + " endpoints, "
                + configuration.hosts().size() + " hosts");
        return ExitCode.DONE;
    }
}
