package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;

/** A measurement that {@code bin/measure} runs. An instance is used for one run only. */
interface Measurement {

    /**
     * Runs the measurement and adds its values to {@code result}, which is printed as the last line of output.
     *
     * @param work empty directory for the files of the run
     * @param seed seed for all values drawn at random
     */
    void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException;
}
