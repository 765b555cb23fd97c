package org.toucanlane.edge.call;

import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.policy.placement.Placement;

/** The endpoint or host to which a request is sent next. */
sealed interface Destination {

    /** Returns the estimated time to the first response in milliseconds. */
    double estimateMillis();

    /** Returns the part of the estimate spent waiting for other requests, in milliseconds. */
    double waitMillis();

    /**
     * An endpoint in this region.
     *
     * @param endpoint the selected endpoint
     * @param placement the placement decision and its estimates
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
     * A host in another region.
     *
     * @param host the selected host
     * @param estimateMillis estimated time to the first response, including the round trip to the host
     * @param waitMillis part of the estimate spent waiting for other requests
     */
    record Remote(HostHandle host, double estimateMillis, double waitMillis) implements Destination {}
}
