package org.toucanlane.edge.gossip;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.policy.share.LimitShare;

/**
 * The reports that this host has received from other hosts.
 *
 * <p>Invariant: for its own region, a relay counts the direct report of each host; any other host counts a relay's
 * aggregate minus its own contribution. The two are never mixed. Reports older than {@link #MAX_REPORT_AGE} are
 * ignored. Not thread-safe: confined to one event loop.
 */
final class ReceivedReports {

    /** Age at which a report expires; several rounds on the longest path, so that lost datagrams are tolerated. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(2_000);

    /** Maximum number of accounts in one report; those with the highest demand are included. */
    static final int MAX_ACCOUNTS_PER_REPORT = 64;

    /** Source name under which endpoints store the aggregate of this region. */
    private static final String AGGREGATE_SOURCE = " gathered";

    private final Fleet fleet;
    private final String region;
    private final int selfTag;
    private final SentReports sent;
    private final Map<String, DirectReport> directReports = new HashMap<>();
    private final Map<String, RegionView> remoteRegions = new HashMap<>();
    private RegionView ownRegionAggregate = RegionView.EMPTY;

    ReceivedReports(Fleet fleet, String region, String self, SentReports sent) {
        this.fleet = fleet;
        this.region = region;
        this.selfTag = HostHandle.tagOf(self);
        this.sent = sent;
    }

    /** Clears the data of this host's region, because it will arrive from a different kind of source. */
    void clearOwnRegion() {
        directReports.clear();
        ownRegionAggregate = RegionView.EMPTY;
        fleet.endpoints().stream().filter(this::isInOwnRegion).forEach(EndpointHandle::clearRemoteUsage);
    }

    private boolean isInOwnRegion(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(region);
    }

    /** Applies the direct report of {@code host}, which belongs to this region. */
    void receiveDirect(HostHandle host, FleetReport report, long now) {
        String name = host.entry().name();
        report.regions().forEach(part -> {
            updateEndpoints(part, name, now);
            if (part.includesSummary()) {
                directReports.put(name, new DirectReport(report.header().round(), part.accountUsage(), now));
            }
        });
    }

    private void updateEndpoints(RegionReport part, String source, long time) {
        part.endpoints()
                .forEach((tag, usage) -> fleet.endpointByTag(tag)
                        .ifPresent(endpoint -> endpoint.updateRemoteUsage(source, usage, time)));
    }

    /** Applies the aggregate of this region from one of its relays. */
    void receiveAggregate(FleetReport report, RegionReport part, long now) {
        SentReports.SentReport own = sent.findByRound(report.header().acknowledgedRound())
                .orElse(new SentReports.SentReport(0, now, Map.of(), Map.of()));
        part.endpoints()
                .forEach((tag, usage) -> fleet.endpointByTag(tag)
                        .ifPresent(endpoint -> endpoint.updateRemoteUsage(
                                AGGREGATE_SOURCE,
                                usage.minus(own.endpoints().getOrDefault(tag, EndpointUsage.NONE)),
                                now)));
        if (part.includesSummary()) {
            Map<String, AccountUsage> others = new HashMap<>(part.accountUsage());
            own.accountUsage()
                    .forEach((account, use) -> others.computeIfPresent(account, (key, sum) -> sum.minus(use)));
            boolean counted = part.hosts().contains(selfTag) && own.round() > 0;
            ownRegionAggregate =
                    counted ? new RegionView(resolveHosts(part.hosts(), now), others, now) : RegionView.EMPTY;
        }
    }

    /** Applies the aggregate of another region. */
    void receiveRemoteRegion(RegionReport part, long now) {
        long at = now - Duration.ofMillis(part.ageMillis()).toNanos();
        updateEndpoints(part, remoteSource(part.region()), at);
        RegionView known = remoteRegions.getOrDefault(part.region(), RegionView.EMPTY);
        if (part.includesSummary() && (known == RegionView.EMPTY || at - known.reportedAt() > 0)) {
            remoteRegions.put(part.region(), new RegionView(resolveHosts(part.hosts(), at), part.accountUsage(), at));
        }
    }

    /** Returns those of {@code tags} that identify registered hosts, and records a report for each of them. */
    private Set<Integer> resolveHosts(Set<Integer> tags, long time) {
        Set<Integer> known = new HashSet<>();
        tags.forEach(tag -> fleet.hostByTag(tag).ifPresent(host -> {
            host.recordReport(time);
            known.add(tag);
        }));
        return known;
    }

    /**
     * Removes expired reports.
     *
     * @param unreadNanos time in which this host didn't read reports and which doesn't count
     */
    void removeExpired(long now, long unreadNanos) {
        long oldest = now - MAX_REPORT_AGE.toNanos() - unreadNanos;
        directReports.values().removeIf(report -> report.receivedAt() - oldest < 0);
        remoteRegions.values().removeIf(view -> view.reportedAt() - oldest < 0);
        ownRegionAggregate = ownRegionAggregate.reportedAt() - oldest < 0 ? RegionView.EMPTY : ownRegionAggregate;
        fleet.endpoints().forEach(endpoint -> endpoint.removeRemoteUsageBefore(oldest));
    }

    /** Returns whether an aggregate of this region that includes this host has been received and has not expired. */
    boolean hasAggregate() {
        return ownRegionAggregate != RegionView.EMPTY;
    }

    /** Returns the round of the latest direct report of {@code host}, or 0 if there is none. */
    long latestRound(String host) {
        DirectReport report = directReports.get(host);
        return report == null ? 0 : report.round();
    }

    /** Returns the sum of the direct reports of this region's hosts. Used by relays. */
    RegionView ownRegion(long now) {
        Set<Integer> hosts = new HashSet<>();
        Map<String, AccountUsage> usage = new HashMap<>();
        directReports.forEach((name, report) -> {
            hosts.add(HostHandle.tagOf(name));
            report.accountUsage().forEach((account, use) -> usage.merge(account, use, AccountUsage::plus));
        });
        return new RegionView(hosts, usage, now);
    }

    /** Returns the aggregates of other regions, by region. */
    Map<String, RegionView> remoteRegions() {
        return remoteRegions;
    }

    /** Returns the source name under which endpoints store the aggregate of another region. */
    static String remoteSource(String region) {
        return "region " + region;
    }

    /**
     * Returns this host's share of an account's limit.
     *
     * @param ownDemand demand at this host per second
     */
    AccountShare shareOf(String account, double ownDemand, boolean relay, long now) {
        int hosts = fleet.hosts().size() + 1;
        RegionView near = relay ? ownRegion(now) : ownRegionAggregate;
        int reachable = 1 + near.hosts().size();
        AccountUsage others = near.usageOf(account);
        boolean known = near.covers(account);
        for (RegionView view : remoteRegions.values()) {
            reachable += view.hosts().size();
            others = others.plus(view.usageOf(account));
            known &= view.covers(account);
        }
        reachable = Math.min(reachable, hosts);
        // A full report may omit accounts, so the demand elsewhere can be unknown; an even share is safe then.
        double fraction = LimitShare.of(hosts, reachable, ownDemand, known ? ownDemand + others.demand() : 0);
        return new AccountShare(fraction, (double) reachable / hosts, others.level());
    }

    /**
     * The known state of the hosts of a region.
     *
     * @param hosts tags of the hosts that are included, without this host
     * @param accountUsage demand and bucket levels of these hosts, by account
     * @param reportedAt monotonic time of the report
     */
    record RegionView(Set<Integer> hosts, Map<String, AccountUsage> accountUsage, long reportedAt) {

        private static final RegionView EMPTY = new RegionView(Set.of(), Map.of(), System.nanoTime());

        private AccountUsage usageOf(String account) {
            return accountUsage.getOrDefault(account, AccountUsage.NONE);
        }

        private boolean covers(String account) {
            return accountUsage.containsKey(account) || accountUsage.size() < MAX_ACCOUNTS_PER_REPORT;
        }
    }

    private record DirectReport(long round, Map<String, AccountUsage> accountUsage, long receivedAt) {}
}
