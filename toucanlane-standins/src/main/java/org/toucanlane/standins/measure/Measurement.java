package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;

/** One measurement. Used once. */
interface Measurement {

    /**
     * Measures and fills in {@code result}, which is printed as the last line.
     *
     * @param work empty folder
     * @param seed seed of everything that is drawn at random
     */
    void run(Path work, long seed, ObjectNode result) throws IOException, InterruptedException;
}
