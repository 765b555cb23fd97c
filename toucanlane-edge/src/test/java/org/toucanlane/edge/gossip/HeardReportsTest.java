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
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUse;
import org.toucanlane.edge.state.StoreKnowledge;
import org.toucanlane.edge.telemetry.DecisionLog;

class HeardReportsTest {

    private static final long NOW = System.nanoTime();

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Fleet fleet = new Fleet(loop, new DecisionLog("test"), "self", Map.of("z", "south", "y", "north"));
    private final SentReports sent = new SentReports();
    private final HeardReports heard = new HeardReports(fleet, "south", "self", sent);

    @BeforeEach
    void addOthers() {
        fleet.host("relay", Optional.of(TestFixtures.host("relay", "south")));
        fleet.host("neighbour", Optional.of(TestFixtures.host("neighbour", "south")));
        fleet.host("far", Optional.of(TestFixtures.host("far", "north")));
        fleet.endpoint("e", Optional.of(TestFixtures.endpoint("e", "z")));
    }

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void takesItsOwnPartOutOfWhatARelayHasGathered() {
        int tag = endpoint().tag();
        sent.add(new SentReports.Sent(4, NOW, Map.of(tag, load(2, 100)), Map.of("acme", new AccountUse(50, 10))));
        gathered(4, Set.of("self", "relay", "neighbour"), Map.of(tag, load(5, 900)), new AccountUse(150, 30));
        assertThat(endpoint().load(NOW).running()).isEqualTo(3);
        assertThat(endpoint().load(NOW).pendingTokens()).isEqualTo(800);
        AccountShare share = heard.shareOf("acme", 50, false, NOW);
        assertThat(share.reachablePart()).isEqualTo(3 / 4.0);
        assertThat(share.levelElsewhere()).isEqualTo(20);
        assertThat(share.part()).isBetween(0.2, 0.3);
    }

    /** Its demand would be missing from what the others count, so it may use no more than a host that is cut off. */
    @Test
    void standsAloneWhileARelayDoesNotCountIt() {
        gathered(0, Set.of("relay", "neighbour"), Map.of(), new AccountUse(150, 30));
        AccountShare share = heard.shareOf("acme", 50, false, NOW);
        assertThat(share.reachablePart()).isEqualTo(1 / 4.0);
        assertThat(share.part()).isLessThanOrEqualTo(1 / 4.0);
    }

    @Test
    void countsEachHostOnceAsARelay() {
        HostHandle neighbour = fleet.host("neighbour").orElseThrow();
        Set<String> names = Set.of("neighbour");
        int tag = endpoint().tag();
        heard.takeOwn(neighbour, report(0, names, Map.of(tag, load(1, 10)), new AccountUse(7, 1)), NOW);
        heard.takeOwn(neighbour, report(0, names, Map.of(tag, load(2, 20)), new AccountUse(8, 2)), NOW);
        assertThat(endpoint().load(NOW).running()).isEqualTo(2);
        assertThat(heard.shareOf("acme", 8, true, NOW).reachablePart()).isEqualTo(2 / 4.0);
        assertThat(heard.roundOf("neighbour")).isEqualTo(9);
    }

    @Test
    void addsOtherRegionsAndForgetsThemInTime() {
        Map<String, AccountUse> uses = Map.of("acme", new AccountUse(50, 5));
        heard.takeFar(new RegionReport("north", 500, true, tags(Set.of("far")), Map.of(), uses, Map.of()), NOW);
        assertThat(heard.shareOf("acme", 50, true, NOW).reachablePart()).isEqualTo(2 / 4.0);
        long later = NOW + HeardReports.REPORT_AGE.toNanos();
        heard.dropStale(later - Duration.ofMillis(600).toNanos());
        assertThat(heard.far()).isNotEmpty();
        heard.dropStale(later - Duration.ofMillis(400).toNanos());
        assertThat(heard.far()).isEmpty();
        assertThat(heard.shareOf("acme", 50, true, NOW).reachablePart()).isEqualTo(1 / 4.0);
    }

    @Test
    void dropsTheLoadOfHostsThatHaveFallenSilent() {
        sent.add(new SentReports.Sent(4, NOW, Map.of(), Map.of()));
        gathered(4, Set.of("self", "relay"), Map.of(endpoint().tag(), load(5, 900)), AccountUse.NONE);
        assertThat(endpoint().load(NOW).running()).isEqualTo(5);
        assertThat(heard.hearsRelay()).isTrue();
        heard.dropStale(NOW + 2 * HeardReports.REPORT_AGE.toNanos());
        assertThat(endpoint().load(NOW).running()).isZero();
        assertThat(heard.hearsRelay()).isFalse();
    }

    private void gathered(long acknowledged, Set<String> hosts, Map<Integer, RemoteLoad> loads, AccountUse use) {
        FleetReport report = report(acknowledged, hosts, loads, use);
        heard.takeGathered(report, report.regions().get(0), NOW);
    }

    private static FleetReport report(
            long acknowledged, Set<String> hosts, Map<Integer, RemoteLoad> loads, AccountUse use) {
        return new FleetReport(
                new FleetReport.Header(0, 1, 9, acknowledged, true, StoreKnowledge.NONE),
                List.of(new RegionReport("south", 0, true, tags(hosts), loads, Map.of("acme", use), Map.of())));
    }

    private static Set<Integer> tags(Set<String> names) {
        return names.stream().map(HostHandle::tagOf).collect(Collectors.toSet());
    }

    private EndpointHandle endpoint() {
        return fleet.endpoint("e").orElseThrow();
    }

    private static RemoteLoad load(int running, long pending) {
        return new RemoteLoad(running, pending, 0, true, 1, 1);
    }
}
