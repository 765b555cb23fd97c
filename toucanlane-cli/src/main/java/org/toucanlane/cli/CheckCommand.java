package org.toucanlane.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.ConfigurationReview;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.domain.configuration.Problem;
import org.toucanlane.domain.configuration.ServiceDocument;
import org.toucanlane.platform.store.HttpKeyValueStore;

/** Checks configuration files before they are published, and shows how they differ from the configuration in force. */
@Parameters(commandDescription = "check files for errors, entries without effect and, with --store, differences")
final class CheckCommand implements Command {

    @Parameter(description = "FOLDER...", required = true)
    private List<String> folders = new ArrayList<>();

    @Override
    public ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, StoreException, InvalidConfigurationException {
        List<ServiceDocument> documents = ServiceFiles.read(folders);
        Result result = new Result(
                ConfigurationReview.findings(documents), options.hasStore() ? changes(options, documents) : List.of());
        if (options.isJson()) {
            out.printJson(result);
        } else {
            result.findings().forEach(finding -> out.printLine(finding.toString()));
            result.changes().forEach(change -> out.printLine(change.describe()));
            out.printLine(documents.size() + " files without errors, "
                    + result.findings().size() + " findings, "
                    + (options.hasStore() ? result.changes().size() + " differences" : "not compared"));
        }
        return result.exitCode();
    }

    private static List<DocumentChange> changes(GlobalOptions options, List<ServiceDocument> documents)
            throws CommandFailedException, IOException, StoreException, InvalidConfigurationException {
        try (HttpKeyValueStore store = options.openStore()) {
            return DocumentChange.between(options.publisher(store).current(), documents);
        }
    }

    /**
     * What the check has found in files without errors.
     *
     * @param findings entries that can't have the effect for which they were written
     * @param changes differences from the configuration in force; empty if there is no store to compare with
     */
    record Result(List<Problem> findings, List<DocumentChange> changes) {

        ExitCode exitCode() {
            if (!findings.isEmpty()) {
                return ExitCode.FINDINGS;
            }
            return changes.isEmpty() ? ExitCode.DONE : ExitCode.DIFFERENT;
        }
    }
}
