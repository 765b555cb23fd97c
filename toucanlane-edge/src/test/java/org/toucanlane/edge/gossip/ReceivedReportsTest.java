package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;
import org.toucanlane.edge.telemetry.DecisionLog;

class ReceivedReportsTest {

    private static final long NOW = System.nanoTime();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("z", "south", "y", "north"));
    private final SentReports sent = new SentReports();
    private final ReceivedReports received = new ReceivedReports(fleet, "south", "self", sent);

    @BeforeEach
    void addOthers() {
        fleet.hostChanged("relay", Optional.of(TestFixtures.host("relay", "south")));
        fleet.hostChanged("neighbour", Optional.of(TestFixtures.host("neighbour", "south")));
        fleet.hostChanged("far", Optional.of(TestFixtures.host("far", "north")));
        fleet.endpointChanged("e", Optional.of(TestFixtures.endpoint("e", "z")));
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void subtractsItsOwnContributionFromAnAggregate() {
        int tag = endpoint().tag();
        sent.add(new SentReports.SentReport(
                4, NOW, Map.of(tag, usage(2, 100)), Map.of("acme", new AccountUsage(50, 10))));
        receiveAggregate(
                4, Set.of("self", "relay", "neighbour"), Map.of(tag, usage(5, 900)), new AccountUsage(150, 30));
        assertThat(endpoint().load(NOW).running()).isEqualTo(3);
        assertThat(endpoint().load(NOW).pendingPromptTokens()).isEqualTo(800);
        AccountShare share = received.shareOf("acme", 50, false, NOW);
        assertThat(share.reachableFraction()).isEqualTo(3 / 4.0);
        assertThat(share.remoteLevel()).isEqualTo(20);
        assertThat(share.fraction()).isBetween(0.2, 0.3);
    }

    /**
     * While the aggregate does not include this host, its demand is missing from the totals of the others, so it may
     * use no more than an isolated host.
     */
    @Test
    void actsAsIsolatedWhileTheAggregateDoesNotIncludeIt() {
        receiveAggregate(0, Set.of("relay", "neighbour"), Map.of(), new AccountUsage(150, 30));
        AccountShare share = received.shareOf("acme", 50, false, NOW);
        assertThat(share.reachableFraction()).isEqualTo(1 / 4.0);
        assertThat(share.fraction()).isLessThanOrEqualTo(1 / 4.0);
    }

    @Test
    void countsEachHostOnceWhenActingAsRelay() {
        HostHandle neighbour = fleet.host("neighbour").orElseThrow();
        Set<String> names = Set.of("neighbour");
        int tag = endpoint().tag();
        received.receiveDirect(neighbour, report(0, names, Map.of(tag, usage(1, 10)), new AccountUsage(7, 1)), NOW);
        received.receiveDirect(neighbour, report(0, names, Map.of(tag, usage(2, 20)), new AccountUsage(8, 2)), NOW);
        assertThat(endpoint().load(NOW).running()).isEqualTo(2);
        assertThat(received.shareOf("acme", 8, true, NOW).reachableFraction()).isEqualTo(2 / 4.0);
        assertThat(received.latestRound("neighbour")).isEqualTo(9);
    }

    @Test
    void includesOtherRegionsUntilTheirReportsExpire() {
        Map<String, AccountUsage> usage = Map.of("acme", new AccountUsage(50, 5));
        received.receiveRemoteRegion(
                new RegionReport("north", 500, true, tags(Set.of("far")), Map.of(), usage, Map.of()), NOW);
        assertThat(received.shareOf("acme", 50, true, NOW).reachableFraction()).isEqualTo(2 / 4.0);
        long later = NOW + ReceivedReports.MAX_REPORT_AGE.toNanos();
        received.removeExpired(later - Duration.ofMillis(600).toNanos(), 0);
        assertThat(received.remoteRegions()).isNotEmpty();
        received.removeExpired(later - Duration.ofMillis(400).toNanos(), 0);
        assertThat(received.remoteRegions()).isEmpty();
        assertThat(received.shareOf("acme", 50, true, NOW).reachableFraction()).isEqualTo(1 / 4.0);
    }

    @Test
    void removesTheLoadOfHostsWhoseReportsHaveExpired() {
        sent.add(new SentReports.SentReport(4, NOW, Map.of(), Map.of()));
        receiveAggregate(4, Set.of("self", "relay"), Map.of(endpoint().tag(), usage(5, 900)), AccountUsage.NONE);
        assertThat(endpoint().load(NOW).running()).isEqualTo(5);
        assertThat(received.hasAggregate()).isTrue();
        received.removeExpired(NOW + 2 * ReceivedReports.MAX_REPORT_AGE.toNanos(), 0);
        assertThat(endpoint().load(NOW).running()).isZero();
        assertThat(received.hasAggregate()).isFalse();
    }

    private void receiveAggregate(
            long acknowledged, Set<String> hosts, Map<Integer, EndpointUsage> endpoints, AccountUsage usage) {
        FleetReport report = report(acknowledged, hosts, endpoints, usage);
        received.receiveAggregate(report, report.regions().get(0), NOW);
    }

    private static FleetReport report(
            long acknowledged, Set<String> hosts, Map<Integer, EndpointUsage> endpoints, AccountUsage usage) {
        return new FleetReport(
                new FleetReport.Header(0, 1, 9, acknowledged, true, StoreStatus.NONE, 0),
                List.of(new RegionReport("south", 0, true, tags(hosts), endpoints, Map.of("acme", usage), Map.of())));
    }

    private static Set<Integer> tags(Set<String> names) {
        return names.stream().map(HostHandle::tagOf).collect(Collectors.toSet());
    }

    private EndpointHandle endpoint() {
        return fleet.endpoint("e").orElseThrow();
    }

    private static EndpointUsage usage(int running, long pending) {
        return new EndpointUsage(running, pending, 0, true, 1, 1);
    }
}
