package org.toucanlane.cli;

import java.io.IOException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.domain.configuration.InvalidConfigurationException;
import org.toucanlane.platform.publish.PublishConflictException;

/** One command of the command line. Its fields are its options; used once. */
interface Command {

    /** Carries the command out. */
    ExitCode run(GlobalOptions options, Output out)
            throws CommandFailedException, IOException, InterruptedException, StoreException,
                    InvalidConfigurationException, PublishConflictException;
}
