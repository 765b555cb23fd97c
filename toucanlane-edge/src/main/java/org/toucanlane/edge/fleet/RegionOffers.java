package org.toucanlane.edge.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.policy.offer.ArrivalRate;
import org.toucanlane.policy.offer.ServiceOffer;

/**
 * The latest offers of all regions, including this host's own, and the demand of this host's callers.
 *
 * <p>Invariant: an offer is replaced only by one of a newer report. Not thread-safe: confined to the host's event loop.
 */
public final class RegionOffers {

    private final Map<String, Report> byRegion = new HashMap<>();
    private final Map<String, ArrivalRate> arrivals = new HashMap<>();

    /** Returns the 32-bit hash that identifies a service in reports of offers. */
    public static int tagOf(String service) {
        return (int) RendezvousHash.hash(service);
    }

    /**
     * Replaces the offers of a region.
     *
     * @param offers offers by the tag of the service
     * @param at monotonic time at which they were made
     */
    public void update(String region, Map<Integer, ServiceOffer> offers, long at) {
        Report known = byRegion.get(region);
        if (known == null || at - known.reportedAt() > 0) {
            byRegion.put(region, new Report(Map.copyOf(offers), at));
        }
    }

    /** Removes the offers that were made before {@code time}. */
    public void removeBefore(long time) {
        byRegion.values().removeIf(report -> report.reportedAt() - time < 0);
    }

    /** Returns the latest report by region. */
    public Map<String, Report> byRegion() {
        return byRegion;
    }

    /** Returns the latest report of a region, or empty if there is none or it has expired. */
    public Optional<Report> report(String region) {
        return Optional.ofNullable(byRegion.get(region));
    }

    /** Returns the offer of a region for a service, or empty if its latest report has none. */
    public Optional<ServiceOffer> offer(String region, String service) {
        return report(region).map(report -> report.offers().get(tagOf(service)));
    }

    /**
     * Records a request of one of this host's callers.
     *
     * @param newTokens prompt tokens that have to be prefilled
     */
    public void recordArrival(String service, long newTokens, long now) {
        arrivals.computeIfAbsent(service, key -> new ArrivalRate()).record(newTokens, now);
    }

    /** Returns the demand of this host's callers. */
    public ServiceOffer.Demand demand(String service, long now) {
        ArrivalRate rate = arrivals.get(service);
        return rate == null ? ServiceOffer.Demand.NONE : rate.rate(now);
    }

    /**
     * The offers of one region.
     *
     * @param offers offers by the tag of the service
     * @param reportedAt monotonic time at which they were made
     */
    public record Report(Map<Integer, ServiceOffer> offers, long reportedAt) {}
}
