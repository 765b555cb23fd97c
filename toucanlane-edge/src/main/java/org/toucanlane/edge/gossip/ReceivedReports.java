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
 * What this host has heard of the others.
 *
 * <p>Invariant: of its own region it counts either what each host tells of itself, if it is a relay, or what a relay has
 * gathered, less its own part; never both. What is older than {@link #MAX_REPORT_AGE} does not count. Used on one event loop
 * only.
 */
final class ReceivedReports {

    /** Age at which a report counts no more: several rounds on the longest way, so that losses do no harm. */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(2_000);

    /** Accounts in one report: those with the largest demand. */
    static final int MAX_ACCOUNTS_PER_REPORT = 64;

    /** Source under which an endpoint keeps what a relay has gathered of this region. */
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

    /** Forgets what was heard of the own region, since it is heard another way from now on. */
    void clearOwnRegion() {
        directReports.clear();
        ownRegionAggregate = RegionView.EMPTY;
        fleet.endpoints().stream().filter(this::isInOwnRegion).forEach(EndpointHandle::clearRemoteUsage);
    }

    private boolean isInOwnRegion(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(region);
    }

    /** Takes what {@code host} of this region tells of itself. */
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
                .forEach((tag, load) ->
                        fleet.endpointByTag(tag).ifPresent(endpoint -> endpoint.updateRemoteUsage(source, load, time)));
    }

    /** Takes what a relay of this region has gathered of it. */
    void receiveAggregate(FleetReport report, RegionReport part, long now) {
        SentReports.SentReport own = sent.findByRound(report.header().acknowledgedRound())
                .orElse(new SentReports.SentReport(0, now, Map.of(), Map.of()));
        part.endpoints()
                .forEach((tag, load) -> fleet.endpointByTag(tag)
                        .ifPresent(endpoint -> endpoint.updateRemoteUsage(
                                AGGREGATE_SOURCE,
                                load.minus(own.endpoints().getOrDefault(tag, EndpointUsage.NONE)),
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

    /** Takes what has been gathered of another region. */
    void receiveRemoteRegion(RegionReport part, long now) {
        long at = now - Duration.ofMillis(part.ageMillis()).toNanos();
        updateEndpoints(part, remoteSource(part.region()), at);
        RegionView known = remoteRegions.getOrDefault(part.region(), RegionView.EMPTY);
        if (part.includesSummary() && (known == RegionView.EMPTY || at - known.reportedAt() > 0)) {
            remoteRegions.put(part.region(), new RegionView(resolveHosts(part.hosts(), at), part.accountUsage(), at));
        }
    }

    /** Returns those of {@code tags} that stand for living hosts, and notes that they have been heard. */
    private Set<Integer> resolveHosts(Set<Integer> tags, long time) {
        Set<Integer> known = new HashSet<>();
        tags.forEach(tag -> fleet.hostByTag(tag).ifPresent(host -> {
            host.recordReport(time);
            known.add(tag);
        }));
        return known;
    }

    /** Drops what is too old. */
    void removeExpired(long now) {
        long oldest = now - MAX_REPORT_AGE.toNanos();
        directReports.values().removeIf(report -> report.receivedAt() - oldest < 0);
        remoteRegions.values().removeIf(view -> view.reportedAt() - oldest < 0);
        ownRegionAggregate = ownRegionAggregate.reportedAt() - oldest < 0 ? RegionView.EMPTY : ownRegionAggregate;
        fleet.endpoints().forEach(endpoint -> endpoint.removeRemoteUsageBefore(oldest));
    }

    /** Returns whether a relay tells what it has gathered of this region. */
    boolean hasAggregate() {
        return ownRegionAggregate != RegionView.EMPTY;
    }

    /** Returns the newest round in which {@code host} has told of itself, or 0. */
    long latestRound(String host) {
        DirectReport report = directReports.get(host);
        return report == null ? 0 : report.round();
    }

    /** Returns the hosts of this region that are heard, and the sum of what they use; of a relay. */
    RegionView ownRegion(long now) {
        Set<Integer> hosts = new HashSet<>();
        Map<String, AccountUsage> uses = new HashMap<>();
        directReports.forEach((name, report) -> {
            hosts.add(HostHandle.tagOf(name));
            report.accountUsage().forEach((account, use) -> uses.merge(account, use, AccountUsage::plus));
        });
        return new RegionView(hosts, uses, now);
    }

    /** Returns what is known of other regions, by region. */
    Map<String, RegionView> remoteRegions() {
        return remoteRegions;
    }

    /** Returns the source under which endpoints keep what has been gathered of another region. */
    static String remoteSource(String region) {
        return "region " + region;
    }

    /**
     * Returns what this host may use of an account's limit.
     *
     * @param own what callers ask of it in a second
     */
    AccountShare shareOf(String account, double own, boolean relay, long now) {
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
        // What others use of an account that no report has room for isn't known; an even part is safe.
        double part = LimitShare.of(hosts, reachable, own, known ? own + others.demand() : 0);
        return new AccountShare(part, (double) reachable / hosts, others.level());
    }

    /**
     * What is known of the hosts of a region.
     *
     * @param hosts tags of the hosts that are counted, without this one
     * @param accountUsage what they have used and hold, by account
     * @param reportedAt when it was told
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
