package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.FleetConfiguration;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.ServiceDocument;
import org.toucanlane.platform.publish.ConfigurationPublisher;
import org.toucanlane.platform.publish.PublishConflictException;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** Validates configuration files, publishes them and optionally waits until all hosts confirm. */
@Parameters(commandDescription = "check files, show the changes, and put the files into force")
final class PublishCommand implements Command {

    @Parameter(description = "FOLDER...", required = true)
    private List<String> folders = new ArrayList<>();

    @Parameter(names = "--remove", description = "name of a file to take out of force; may be repeated")
    private List<String> removed = new ArrayList<>();

    @Parameter(names = "--wait", description = "wait until every host of the fleet has confirmed; needs --admin")
    private boolean wait;

    @Parameter(names = "--wait-seconds", description = "maximum time to wait, in seconds")
    private int waitSeconds = 30;

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InterruptedException, StoreException,
                    InvalidConfigurationException, PublishConflictException {
        List<ServiceDocument> documents = ServiceFiles.read(folders);
        List<URI> admins = options.adminAddresses();
        if (wait && admins.isEmpty()) {
            throw new CommandFailedException(ExitCode.USAGE, "--wait needs --admin");
        }
        try (HttpKeyValueStore store = options.openStore();
                HostClient hosts = new HostClient()) {
            ConfigurationPublisher publisher = options.publisher(store);
            DocumentChange.between(publisher.current(), documents)
                    .forEach(change -> out.printDiagnostic(change.describe()));
            ConfigurationPublisher.PublishedConfiguration published =
                    publisher.publish(documents, Set.copyOf(removed), hosts.confirmedVersions(admins));
            printVersion(options, out, published);
            return wait ? awaitConfirmation(published, hosts, admins, out) : ExitCode.DONE;
        }
    }

    private static void printVersion(
            GlobalOptions options, Output out, ConfigurationPublisher.PublishedConfiguration published)
            throws IOException {
        if (options.isJson()) {
            out.printJson(Map.of("version", published.revision()));
        } else {
            out.printLine("version " + published.revision() + " is published");
        }
    }

    private ExitCode awaitConfirmation(
            ConfigurationPublisher.PublishedConfiguration published, HostClient hosts, List<URI> admins, Output out)
            throws InvalidConfigurationException, InterruptedException {
        Set<String> expected =
                FleetConfiguration.assemble(published.documents().values()).hosts();
        ConfirmationPoller confirmation = new ConfirmationPoller(hosts, admins, out);
        List<String> missing = confirmation.await(published.revision(), expected, waitSeconds);
        if (missing.isEmpty()) {
            out.printLine("version " + published.revision() + " is in force on all " + expected.size() + " hosts");
            return ExitCode.DONE;
        }
        out.printDiagnostic("not confirmed by: " + String.join(", ", missing));
        return ExitCode.UNCONFIRMED;
    }
}
