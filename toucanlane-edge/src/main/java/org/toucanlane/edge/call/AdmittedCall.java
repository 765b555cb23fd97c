package org.toucanlane.edge.call;

import java.util.Optional;
import java.util.Set;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingRoute;

/**
 * A request that may run, with all that decides where.
 *
 * @param head what the request says
 * @param route its route
 * @param service service that it goes to
 * @param account its client account, if its route asks for one
 * @param regions regions in which it may run; empty for all
 * @param deadline when the caller gets its last answer, by {@link System#nanoTime()}
 * @param endpointsLeft endpoints to which it may be sent
 * @param charged what was taken from the account's limit
 * @param fromHost host that has passed it on, if any
 * @param version version of the configuration that admitted it
 * @param bounds what all routes to its service ask of it
 */
public record AdmittedCall(
        CallHead head,
        ServingRoute route,
        String service,
        Optional<ServingAccount> account,
        Set<String> regions,
        long deadline,
        int endpointsLeft,
        long charged,
        Optional<String> fromHost,
        long version,
        RouteBounds bounds) {

    /** Returns whether it may run in {@code region}. */
    public boolean mayRunIn(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /** Returns its rank among the requests for its service; 0 is the most urgent. */
    public int rank() {
        int own = account.isPresent() && account.get().priority().isPresent()
                ? account.get().priority().getAsInt()
                : route.priority().orElse(bounds.highestPriority());
        return Math.max(0, own - bounds.highestPriority());
    }
}
