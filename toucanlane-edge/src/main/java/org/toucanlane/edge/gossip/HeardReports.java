package org.toucanlane.edge.gossip;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUse;
import org.toucanlane.policy.share.LimitShare;

/**
 * What this host has heard of the others.
 *
 * <p>Invariant: of its own region it counts either what each host tells of itself, if it is a relay, or what a relay has
 * gathered, less its own part; never both. What is older than {@link #REPORT_AGE} does not count. Used on one event loop
 * only.
 */
final class HeardReports {

    /** Age at which a report counts no more: several rounds on the longest way, so that losses do no harm. */
    static final Duration REPORT_AGE = Duration.ofMillis(2_000);

    /** Accounts in one report: those with the largest demand. */
    static final int ACCOUNTS_PER_REPORT = 64;

    /** Source under which an endpoint keeps what a relay has gathered of this region. */
    private static final String GATHERED = " gathered";

    private final Fleet fleet;
    private final String region;
    private final int self;
    private final SentReports sent;
    private final Map<String, Direct> direct = new HashMap<>();
    private final Map<String, View> far = new HashMap<>();
    private View gathered = View.NOTHING;

    HeardReports(Fleet fleet, String region, String self, SentReports sent) {
        this.fleet = fleet;
        this.region = region;
        this.self = HostHandle.tagOf(self);
        this.sent = sent;
    }

    /** Forgets what was heard of the own region, since it is heard another way from now on. */
    void forgetNear() {
        direct.clear();
        gathered = View.NOTHING;
        fleet.endpoints().stream().filter(this::isNear).forEach(EndpointHandle::dropReports);
    }

    private boolean isNear(EndpointHandle endpoint) {
        return fleet.regionOf(endpoint).equals(region);
    }

    /** Takes what {@code host} of this region tells of itself. */
    void takeOwn(HostHandle host, FleetReport report, long now) {
        String name = host.entry().name();
        report.regions().forEach(part -> {
            report(part, name, now);
            if (part.complete()) {
                direct.put(name, new Direct(report.header().round(), part.uses(), now));
            }
        });
    }

    private void report(RegionReport part, String source, long time) {
        part.endpoints()
                .forEach((tag, load) ->
                        fleet.endpointOfTag(tag).ifPresent(endpoint -> endpoint.report(source, load, time)));
    }

    /** Takes what a relay of this region has gathered of it. */
    void takeGathered(FleetReport report, RegionReport part, long now) {
        SentReports.Sent own =
                sent.of(report.header().acknowledged()).orElse(new SentReports.Sent(0, now, Map.of(), Map.of()));
        part.endpoints()
                .forEach((tag, load) -> fleet.endpointOfTag(tag)
                        .ifPresent(endpoint -> endpoint.report(
                                GATHERED, load.without(own.endpoints().getOrDefault(tag, RemoteLoad.NONE)), now)));
        if (part.complete()) {
            Map<String, AccountUse> others = new HashMap<>(part.uses());
            own.uses().forEach((account, use) -> others.computeIfPresent(account, (key, sum) -> sum.without(use)));
            boolean counted = part.hosts().contains(self) && own.round() > 0;
            gathered = counted ? new View(known(part.hosts(), now), others, now) : View.NOTHING;
        }
    }

    /** Takes what has been gathered of another region. */
    void takeFar(RegionReport part, long now) {
        long at = now - Duration.ofMillis(part.ageMillis()).toNanos();
        report(part, sourceOf(part.region()), at);
        View known = far.getOrDefault(part.region(), View.NOTHING);
        if (part.complete() && (known == View.NOTHING || at - known.at() > 0)) {
            far.put(part.region(), new View(known(part.hosts(), at), part.uses(), at));
        }
    }

    /** Returns those of {@code tags} that stand for living hosts, and notes that they have been heard. */
    private Set<Integer> known(Set<Integer> tags, long time) {
        Set<Integer> known = new HashSet<>();
        tags.forEach(tag -> fleet.hostOfTag(tag).ifPresent(host -> {
            host.hear(time);
            known.add(tag);
        }));
        return known;
    }

    /** Drops what is too old. */
    void dropStale(long now) {
        long oldest = now - REPORT_AGE.toNanos();
        direct.values().removeIf(report -> report.at() - oldest < 0);
        far.values().removeIf(view -> view.at() - oldest < 0);
        gathered = gathered.at() - oldest < 0 ? View.NOTHING : gathered;
        fleet.endpoints().forEach(endpoint -> endpoint.dropReportsBefore(oldest));
    }

    /** Returns whether a relay tells what it has gathered of this region. */
    boolean hearsRelay() {
        return gathered != View.NOTHING;
    }

    /** Returns the newest round in which {@code host} has told of itself, or 0. */
    long roundOf(String host) {
        Direct report = direct.get(host);
        return report == null ? 0 : report.round();
    }

    /** Returns the hosts of this region that are heard, and the sum of what they use; of a relay. */
    View near(long now) {
        Set<Integer> hosts = new HashSet<>();
        Map<String, AccountUse> uses = new HashMap<>();
        direct.forEach((name, report) -> {
            hosts.add(HostHandle.tagOf(name));
            report.uses().forEach((account, use) -> uses.merge(account, use, AccountUse::plus));
        });
        return new View(hosts, uses, now);
    }

    /** Returns what is known of other regions, by region. */
    Map<String, View> far() {
        return far;
    }

    /** Returns the source under which endpoints keep what has been gathered of another region. */
    static String sourceOf(String region) {
        return "region " + region;
    }

    /**
     * Returns what this host may use of an account's limit.
     *
     * @param own what callers ask of it in a second
     */
    AccountShare shareOf(String account, double own, boolean relay, long now) {
        int hosts = fleet.hosts().size() + 1;
        View near = relay ? near(now) : gathered;
        int reachable = 1 + near.hosts().size();
        AccountUse others = near.of(account);
        boolean known = near.tellsOf(account);
        for (View view : far.values()) {
            reachable += view.hosts().size();
            others = others.plus(view.of(account));
            known &= view.tellsOf(account);
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
     * @param uses what they have used and hold, by account
     * @param at when it was told
     */
    record View(Set<Integer> hosts, Map<String, AccountUse> uses, long at) {

        private static final View NOTHING = new View(Set.of(), Map.of(), System.nanoTime());

        private AccountUse of(String account) {
            return uses.getOrDefault(account, AccountUse.NONE);
        }

        private boolean tellsOf(String account) {
            return uses.containsKey(account) || uses.size() < ACCOUNTS_PER_REPORT;
        }
    }

    private record Direct(long round, Map<String, AccountUse> uses, long at) {}
}
