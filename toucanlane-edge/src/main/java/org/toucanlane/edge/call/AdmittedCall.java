package org.toucanlane.edge.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.domain.serving.RouteBounds;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingRoute;

/**
 * A request that has been admitted, with the limits on where it may be sent.
 *
 * @param head parsed request headers
 * @param route route that the request matched
 * @param service service that handles the request
 * @param account client account, if the route requires one
 * @param regions regions in which the request may run; empty for any region
 * @param deadlineNanos time by which the whole response must be delivered, as a {@link System#nanoTime()} value
 * @param endpointsLeft number of endpoints to which the request may be sent
 * @param chargedTokens tokens charged against the account's limit
 * @param forwardedBy host that forwarded the request, if any
 * @param configurationVersion version of the configuration under which the request was admitted
 * @param routeBounds combined bounds of all routes to the service
 */
public record AdmittedCall(
        CallHead head,
        ServingRoute route,
        String service,
        Optional<ServingAccount> account,
        Set<String> regions,
        long deadlineNanos,
        int endpointsLeft,
        long chargedTokens,
        Optional<String> forwardedBy,
        long configurationVersion,
        RouteBounds routeBounds) {

    /** Returns whether the request may run in {@code region}. */
    public boolean mayRunIn(String region) {
        return regions.isEmpty() || regions.contains(region);
    }

    /** Returns the ids of the prompt segments that other requests may share, of any model, in order. */
    public List<String> sharedSegments() {
        return head.prompt().map(Prompt::sharedContentIds).orElse(List.of());
    }

    /** Returns the name of the client account, or an empty string if the route requires none. */
    public String accountName() {
        return account.map(ServingAccount::name).orElse("");
    }

    /** Returns the priority rank of the request within its service; 0 is the most urgent. */
    public int rank() {
        int priority = account.isPresent() && account.get().priority().isPresent()
                ? account.get().priority().getAsInt()
                : route.priority().orElse(routeBounds.highestPriority());
        return Math.max(0, priority - routeBounds.highestPriority());
    }
}
