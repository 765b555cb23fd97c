package org.toucanlane.policy.routing;

/**
 * What a host knows of a data centre when it decides.
 *
 * @param name name of the data centre
 * @param local whether it is the host's own
 * @param allowed whether the request may run there
 * @param reachable whether a host there takes work; true for the own one
 * @param endpoints endpoints there that may get work
 * @param load believed use of their capacity; 1 is full
 * @param roundTripMillis time for a message there and back
 */
public record DataCentreView(
        String name,
        boolean local,
        boolean allowed,
        boolean reachable,
        int endpoints,
        double load,
        double roundTripMillis) {

    /** Returns whether the request can run there at all. */
    public boolean isUsable() {
        return allowed && reachable && endpoints > 0;
    }
}
