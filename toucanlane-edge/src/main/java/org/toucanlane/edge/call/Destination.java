package org.toucanlane.edge.call;

import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.policy.placement.Placement;

/** The endpoint or host to which a request is sent next. */
sealed interface Destination {

    /** Returns the placement at the endpoint that is expected to run the request. */
    Placement placement();

    /** Returns the time that the way to the endpoint adds, in milliseconds. */
    double roundTripMillis();

    /** Returns the estimated time to the first response in milliseconds. */
    default double estimateMillis() {
        return placement().estimateMillis() + roundTripMillis();
    }

    /** Returns the part of the estimate spent waiting for other requests, in milliseconds. */
    default double waitMillis() {
        return placement().waitMillis();
    }

    /** Returns the cost by which destinations are compared, in milliseconds. */
    default double costMillis() {
        return placement().costMillis() + roundTripMillis();
    }

    /**
     * An endpoint in this region.
     *
     * @param endpoint the selected endpoint
     * @param placement the placement decision and its estimates
     */
    record Local(EndpointHandle endpoint, Placement placement) implements Destination {
        @Override
        public double roundTripMillis() {
            return 0;
        }
    }

    /**
     * A host in another region.
     *
     * @param host the selected host
     * @param placement the placement that the host is expected to decide
     * @param roundTripMillis duration of a round trip to the host
     */
    record Remote(HostHandle host, Placement placement, double roundTripMillis) implements Destination {}
}
