package org.toucanlane.policy.routing;

/**
 * A host's view of a data centre at the time of a routing decision.
 *
 * @param name name of the data centre
 * @param local whether the host is in this data centre
 * @param allowed whether the request may run there
 * @param reachable whether a host there accepts work; always true for the local data centre
 * @param endpoints number of endpoints there that may receive work
 * @param load estimated utilization of their capacity; 1 is full
 * @param roundTripMillis network round-trip time, in milliseconds
 */
public record DataCentreView(
        String name,
        boolean local,
        boolean allowed,
        boolean reachable,
        int endpoints,
        double load,
        double roundTripMillis) {

    /** Returns whether the request can run in this data centre. */
    public boolean isUsable() {
        return allowed && reachable && endpoints > 0;
    }
}
