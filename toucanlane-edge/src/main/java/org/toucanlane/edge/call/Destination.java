package org.toucanlane.edge.call;

import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.policy.placement.Placement;

/** Where a request goes next. */
sealed interface Destination {

    /** Returns the expected time to the first answer in milliseconds. */
    double estimateMillis();

    /** Returns the part of it that is due to other requests. */
    double waitMillis();

    /**
     * An endpoint of this region.
     *
     * @param endpoint the endpoint
     * @param placement why it was chosen
     */
    record Local(EndpointHandle endpoint, Placement placement) implements Destination {
        @Override
        public double estimateMillis() {
            return placement.estimateMillis();
        }

        @Override
        public double waitMillis() {
            return placement.waitMillis();
        }
    }

    /**
     * A host of another region.
     *
     * @param host the host
     * @param estimateMillis expected time to the first answer, with the way there and back
     * @param waitMillis part of it that is due to other requests
     */
    record Remote(HostHandle host, double estimateMillis, double waitMillis) implements Destination {}
}
