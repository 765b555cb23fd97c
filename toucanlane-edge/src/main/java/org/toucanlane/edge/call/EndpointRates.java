package org.toucanlane.edge.call;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.toucanlane.domain.serving.ServingService;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.RequestLimit;
import org.toucanlane.policy.placement.EndpointRateShare;

/**
 * This host's part of the request rates that endpoints of its region take from all hosts together: the rate of a cold
 * endpoint, and the limit that an endpoint has named.
 *
 * <p>Invariant: a request counts against a rate from {@link #recordSend} on. Used on the host's event loop only.
 */
final class EndpointRates {

    private final Fleet fleet;
    private final String hostName;
    private final String region;

    /**
     * Creates the rates of a host.
     *
     * @param hostName name of this host
     * @param region region of this host
     */
    EndpointRates(Fleet fleet, String hostName, String region) {
        this.fleet = fleet;
        this.hostName = hostName;
        this.region = region;
    }

    /** Returns whether the rates of {@code endpoint} allow a request of this host now. */
    boolean allow(EndpointHandle endpoint, long now) {
        return hasColdCapacity(endpoint, now) && limitDelay(endpoint, now).isZero();
    }

    private boolean hasColdCapacity(EndpointHandle endpoint, long now) {
        return !endpoint.isCold(now)
                || coldRate(endpoint, now)
                        .map(rate -> endpoint.hasColdCapacity(rate, now))
                        .orElse(true);
    }

    /**
     * Returns this host's share of the request rate allowed for a cold endpoint, or empty if its service has no such
     * limit.
     */
    private Optional<EndpointRateShare> coldRate(EndpointHandle endpoint, long now) {
        return fleet.configuration()
                .flatMap(current -> current.service(endpoint.entry().service()))
                .map(ServingService::coldStartRequestsPerSecond)
                .filter(perSecond -> perSecond > 0)
                .map(perSecond -> shareOf(endpoint, perSecond, now));
    }

    private EndpointRateShare shareOf(EndpointHandle endpoint, double requestsPerSecond, long now) {
        List<String> others = fleet.hostsSharingRates(region, now);
        return EndpointRateShare.of(hostName, others, endpoint.id(), requestsPerSecond);
    }

    /** Returns the time until the limit that {@code endpoint} has named allows a request; zero if it does now. */
    Duration limitDelay(EndpointHandle endpoint, long now) {
        RequestLimit limit = endpoint.requestLimit();
        OptionalDouble rate = limit.allowedRate();
        return rate.isEmpty()
                ? Duration.ZERO
                : limit.delay(shareOf(endpoint, rate.getAsDouble(), now), now, timeOfDay());
    }

    private static Duration timeOfDay() {
        return Duration.ofMillis(System.currentTimeMillis());
    }

    /** Counts a request against the rates of {@code endpoint}. */
    void recordSend(EndpointHandle endpoint, long now) {
        if (endpoint.isCold(now)) {
            coldRate(endpoint, now).ifPresent(rate -> endpoint.recordColdRequest(rate, now));
        }
        RequestLimit limit = endpoint.requestLimit();
        limit.allowedRate().ifPresent(rate -> limit.recordRequest(shareOf(endpoint, rate, now), now, timeOfDay()));
    }
}
