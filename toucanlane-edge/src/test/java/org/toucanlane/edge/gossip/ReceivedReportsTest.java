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
import org.toucanlane.edge.Samples;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreStatus;
import org.toucanlane.edge.telemetry.DecisionLog;

class HeardReportsTest {

    private static final long NOW = System.nanoTime();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("z", "south", "y", "north"));
    private final SentReports sent = new SentReports();
    private final ReceivedReports heard = new ReceivedReports(fleet, "south", "self", sent);

    @BeforeEach
    void addOthers() {
        fleet.hostChanged("relay", Optional.of(Samples.host("relay", "south")));
        fleet.hostChanged("neighbour", Optional.of(Samples.host("neighbour", "south")));
        fleet.hostChanged("far", Optional.of(Samples.host("far", "north")));
        fleet.endpointChanged("e", Optional.of(Samples.endpoint("e", "z")));
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void takesItsOwnPartOutOfWhatARelayHasGathered() {
        int tag = endpoint().tag();
        sent.add(new SentReports.SentReport(
                4, NOW, Map.of(tag, load(2, 100)), Map.of("acme", new AccountUsage(50, 10))));
        gathered(4, Set.of("self", "relay", "neighbour"), Map.of(tag, load(5, 900)), new AccountUsage(150, 30));
        assertThat(endpoint().load(NOW).running()).isEqualTo(3);
        assertThat(endpoint().load(NOW).pendingTokens()).isEqualTo(800);
        AccountShare share = heard.shareOf("acme", 50, false, NOW);
        assertThat(share.reachableFraction()).isEqualTo(3 / 4.0);
        assertThat(share.remoteLevel()).isEqualTo(20);
        assertThat(share.fraction()).isBetween(0.2, 0.3);
    }

    /** Its demand would be missing from what the others count, so it may use no more than a host that is cut off. */
    @Test
    void standsAloneWhileARelayDoesNotCountIt() {
        gathered(0, Set.of("relay", "neighbour"), Map.of(), new AccountUsage(150, 30));
        AccountShare share = heard.shareOf("acme", 50, false, NOW);
        assertThat(share.reachableFraction()).isEqualTo(1 / 4.0);
        assertThat(share.fraction()).isLessThanOrEqualTo(1 / 4.0);
    }

    @Test
    void countsEachHostOnceAsARelay() {
        HostHandle neighbour = fleet.host("neighbour").orElseThrow();
        Set<String> names = Set.of("neighbour");
        int tag = endpoint().tag();
        heard.receiveDirect(neighbour, report(0, names, Map.of(tag, load(1, 10)), new AccountUsage(7, 1)), NOW);
        heard.receiveDirect(neighbour, report(0, names, Map.of(tag, load(2, 20)), new AccountUsage(8, 2)), NOW);
        assertThat(endpoint().load(NOW).running()).isEqualTo(2);
        assertThat(heard.shareOf("acme", 8, true, NOW).reachableFraction()).isEqualTo(2 / 4.0);
        assertThat(heard.latestRound("neighbour")).isEqualTo(9);
    }

    @Test
    void addsOtherRegionsAndForgetsThemInTime() {
        Map<String, AccountUsage> uses = Map.of("acme", new AccountUsage(50, 5));
        heard.receiveRemoteRegion(
                new RegionReport("north", 500, true, tags(Set.of("far")), Map.of(), uses, Map.of()), NOW);
        assertThat(heard.shareOf("acme", 50, true, NOW).reachableFraction()).isEqualTo(2 / 4.0);
        long later = NOW + ReceivedReports.MAX_REPORT_AGE.toNanos();
        heard.removeExpired(later - Duration.ofMillis(600).toNanos());
        assertThat(heard.remoteRegions()).isNotEmpty();
        heard.removeExpired(later - Duration.ofMillis(400).toNanos());
        assertThat(heard.remoteRegions()).isEmpty();
        assertThat(heard.shareOf("acme", 50, true, NOW).reachableFraction()).isEqualTo(1 / 4.0);
    }

    @Test
    void dropsTheLoadOfHostsThatHaveFallenSilent() {
        sent.add(new SentReports.SentReport(4, NOW, Map.of(), Map.of()));
        gathered(4, Set.of("self", "relay"), Map.of(endpoint().tag(), load(5, 900)), AccountUsage.NONE);
        assertThat(endpoint().load(NOW).running()).isEqualTo(5);
        assertThat(heard.hasAggregate()).isTrue();
        heard.removeExpired(NOW + 2 * ReceivedReports.MAX_REPORT_AGE.toNanos());
        assertThat(endpoint().load(NOW).running()).isZero();
        assertThat(heard.hasAggregate()).isFalse();
    }

    private void gathered(long acknowledged, Set<String> hosts, Map<Integer, EndpointUsage> loads, AccountUsage use) {
        FleetReport report = report(acknowledged, hosts, loads, use);
        heard.receiveAggregate(report, report.regions().get(0), NOW);
    }

    private static FleetReport report(
            long acknowledged, Set<String> hosts, Map<Integer, EndpointUsage> loads, AccountUsage use) {
        return new FleetReport(
                new FleetReport.Header(0, 1, 9, acknowledged, true, StoreStatus.NONE),
                List.of(new RegionReport("south", 0, true, tags(hosts), loads, Map.of("acme", use), Map.of())));
    }

    private static Set<Integer> tags(Set<String> names) {
        return names.stream().map(HostHandle::tagOf).collect(Collectors.toSet());
    }

    private EndpointHandle endpoint() {
        return fleet.endpoint("e").orElseThrow();
    }

    private static EndpointUsage load(int running, long pending) {
        return new EndpointUsage(running, pending, 0, true, 1, 1);
    }
}
