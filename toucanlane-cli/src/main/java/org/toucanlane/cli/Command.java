package org.toucanlane.cli;

import java.io.IOException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.platform.publish.PublishConflictException;

/** Subcommand of {@code toucanlane}. Its annotated fields hold the parsed options; an instance runs once. */
interface Command {

    /** Runs the command and returns its exit code. */
    ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InterruptedException, StoreException,
                    InvalidConfigurationException, PublishConflictException;
}
