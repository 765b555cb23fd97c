package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;
import org.toucanlane.platform.publish.ConfigurationPublisher;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** Shows how configuration files differ from the configuration in force. */
@Parameters(commandDescription = "show how files differ from the configuration in force")
final class DiffCommand implements Command {

    @Parameter(description = "FOLDER...", required = true)
    private List<String> folders = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, StoreException, InvalidConfigurationException {
        List<ServiceDocument> documents = ServiceFiles.read(folders);
        try (HttpKeyValueStore store = options.openStore()) {
            ConfigurationPublisher.PublishedConfiguration current =
                    options.publisher(store).current();
            List<DocumentChange> changes = DocumentChange.between(current, documents);
            if (options.isJson()) {
                out.printJson(changes);
            } else {
                changes.forEach(change -> out.printLine(change.describe()));
                out.printLine(changes.isEmpty() ? "no difference from version " + current.revision() : "");
            }
            return changes.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
        }
    }
}
