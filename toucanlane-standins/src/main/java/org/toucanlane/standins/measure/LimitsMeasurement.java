package org.toucanlane.standins.measure;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/** To come. */
final class LimitsMeasurement implements Measurement {
    @Override
    public void run(Path work, long seed, ObjectNode result) {
        throw new UnsupportedOperationException();
    }
}
