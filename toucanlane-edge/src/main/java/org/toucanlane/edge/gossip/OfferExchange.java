package org.toucanlane.edge.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.fleet.RegionOffers;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.offer.HeldOffer;
import org.toucanlane.policy.offer.ServiceOffer;
import org.toucanlane.policy.offer.SpareCapacity;
import org.toucanlane.policy.placement.EndpointLoad;

/**
 * Makes the offers of this host's region for services that run in several regions, and exchanges them with other regions.
 *
 * <p>Each host reports the demand of its callers to the relays of its region. A relay makes the offers from the load of the
 * region's endpoints and the sum of the demand; they take the routes of load reports. Invariant: endpoints that are cold,
 * draining, evacuated, limited or considered unusable by any host add nothing. Not thread-safe: confined to one event loop.
 */
final class OfferExchange {

    /** Maximum number of services with an offer; as many as fit into a datagram. */
    private static final int MAX_SERVICES = 32;

    /** Maximum size of a datagram, so that it fits into an Ethernet frame. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;

    /** Number of reports after which their numbers repeat. */
    private static final int TURNS = 128;

    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final Map<String, HostDemand> demandByHost = new HashMap<>();
    private final Map<String, Boolean> offering = new HashMap<>();
    private int turn;

    OfferExchange(Fleet fleet, DecisionLog log, HostRecord self) {
        this.fleet = fleet;
        this.log = log;
        this.self = self;
    }

    /** Returns the datagrams with the demand of this host for the relays of its region; none if no service needs them. */
    List<byte[]> demandDatagrams(long now) {
        Map<Integer, ServiceOffer> demand = new HashMap<>();
        services()
                .forEach(service -> demand.put(
                        RegionOffers.tagOf(service),
                        ServiceOffer.none(fleet.offers().demand(service, now))));
        return demand.isEmpty() ? List.of() : encode(false, List.of(new OfferReport.Region(self.region(), 0, demand)));
    }

    /** Makes the offers of this region and returns the datagrams with them for relays. */
    List<byte[]> ownOffers(long now) {
        turn = (turn + 1) % TURNS;
        Map<Integer, ServiceOffer> offers = new HashMap<>();
        services().forEach(service -> {
            ServiceOffer offer = offer(service, now);
            offers.put(RegionOffers.tagOf(service), offer);
            logChange(service, offer);
        });
        if (offers.isEmpty()) {
            return List.of();
        }
        fleet.offers().update(self.region(), offers, now);
        return encode(true, List.of(new OfferReport.Region(self.region(), 0, offers)));
    }

    /** Returns the datagrams with the offers of all regions for the other hosts of this region. */
    List<byte[]> allOffers(long now) {
        return encode(
                true,
                fleet.offers().byRegion().entrySet().stream()
                        .map(entry -> new OfferReport.Region(
                                entry.getKey(),
                                TimeUnit.NANOSECONDS.toMillis(
                                        now - entry.getValue().reportedAt()),
                                entry.getValue().offers()))
                        .toList());
    }

    /** Returns the services with endpoints in this region and in another one. */
    private List<String> services() {
        Map<String, Boolean> elsewhereByService = new HashMap<>();
        fleet.endpoints()
                .forEach(endpoint -> elsewhereByService.merge(
                        endpoint.entry().service(), !isInOwnRegion(endpoint), Boolean::logicalOr));
        return elsewhereByService.entrySet().stream()
                .filter(entry -> entry.getValue()
                        && fleet.endpointsOf(entry.getKey()).stream().anyMatch(this::isInOwnRegion))
                .map(Map.Entry::getKey)
                .sorted()
                .limit(MAX_SERVICES)
                .toList();
    }

    private boolean isInOwnRegion(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(self.region());
    }

    private ServiceOffer offer(String service, long now) {
        int tag = RegionOffers.tagOf(service);
        ServiceOffer.Demand demand = demandByHost.values().stream()
                .map(host -> host.byService().getOrDefault(tag, ServiceOffer.Demand.NONE))
                .reduce(fleet.offers().demand(service, now), ServiceOffer.Demand::plus);
        List<EndpointLoad> endpoints = fleet.endpointsOf(service).stream()
                .filter(endpoint -> isInOwnRegion(endpoint) && takesAnyRequest(endpoint, now))
                .map(endpoint -> endpoint.load(now))
                .toList();
        return fleet.configuration()
                .map(current -> current.boundsOf(service).minLatencyObjective())
                .map(objective -> SpareCapacity.offer(endpoints, demand, objective, turn))
                .orElse(ServiceOffer.none(demand));
    }

    private boolean takesAnyRequest(EndpointHandle endpoint, long now) {
        return endpoint.isUsableElsewhere(now)
                && !endpoint.isCold(now)
                && endpoint.requestLimit().named().isEmpty()
                && !fleet.isEvacuated(endpoint.entry().dataCentre());
    }

    private void logChange(String service, ServiceOffer offer) {
        Boolean before = offering.put(service, offer.hasRoom());
        if (before != null && before != offer.hasRoom()) {
            log.decision(
                    offer.hasRoom() ? "offer_made" : "offer_ended",
                    "service",
                    service,
                    "places",
                    offer.places(),
                    "tokens",
                    offer.tokens(),
                    "requests_per_second",
                    offer.demand().requestsPerSecond());
        }
    }

    /** Encodes the regions into as many datagrams as needed; a region is never split. */
    private List<byte[]> encode(boolean aggregated, List<OfferReport.Region> regions) {
        List<byte[]> datagrams = new ArrayList<>();
        List<OfferReport.Region> batch = new ArrayList<>();
        for (OfferReport.Region region : regions) {
            batch.add(region);
            if (encodeOne(aggregated, batch).length > MAX_DATAGRAM_BYTES && batch.size() > 1) {
                datagrams.add(encodeOne(aggregated, batch.subList(0, batch.size() - 1)));
                batch = new ArrayList<>(List.of(region));
            }
        }
        if (!batch.isEmpty()) {
            datagrams.add(encodeOne(aggregated, batch));
        }
        return datagrams;
    }

    private byte[] encodeOne(boolean aggregated, List<OfferReport.Region> regions) {
        return new OfferReport(HostHandle.tagOf(self.name()), self.incarnation(), aggregated, regions).encode();
    }

    /** Applies a report, unless its sender is unknown or has been replaced by a later process. */
    void receive(OfferReport report, long now) {
        fleet.hostByTag(report.host())
                .filter(host -> host.entry().incarnation() == report.incarnation())
                .ifPresent(host -> report.regions().forEach(region -> {
                    if (report.aggregated()) {
                        receiveOffers(region, now);
                    } else {
                        receiveDemand(host.entry(), region, now);
                    }
                }));
    }

    private void receiveOffers(OfferReport.Region region, long now) {
        long age = TimeUnit.MILLISECONDS.toNanos(region.ageMillis());
        if (age <= HeldOffer.MAX_AGE.toNanos()) {
            fleet.offers().update(region.name(), region.offers(), now - age);
        }
    }

    private void receiveDemand(HostRecord host, OfferReport.Region region, long now) {
        if (host.region().equals(self.region())) {
            Map<Integer, ServiceOffer.Demand> byService = new HashMap<>();
            region.offers().forEach((service, offer) -> byService.put(service, offer.demand()));
            demandByHost.put(host.name(), new HostDemand(byService, now));
        }
    }

    /** Removes expired reports. */
    void removeExpired(long now) {
        long oldest = now - HeldOffer.MAX_AGE.toNanos();
        demandByHost.values().removeIf(demand -> demand.receivedAt() - oldest < 0);
        fleet.offers().removeBefore(oldest);
    }

    /** The demand of another host of this region, by the tag of the service. */
    private record HostDemand(Map<Integer, ServiceOffer.Demand> byService, long receivedAt) {}
}
