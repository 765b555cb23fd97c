package org.toucanlane.edge.host;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.domain.serving.ServingRoute;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.telemetry.DecisionLog;

class HostDirectoryTest {

    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HostRecord self = TestFixtures.host("south-1", "south");
    private final Set<String> unresponsive = new HashSet<>();
    private Fleet fleet;
    private HostDirectory directory;

    @BeforeEach
    void start() {
        fleet = new Fleet(eventLoopGroup.next(), new DecisionLog("test"), self.name(), Map.of());
        directory = new HostDirectory(
                fleet, self, host -> !unresponsive.contains(host.entry().name()));
        add(TestFixtures.host("north-1", "north"));
        add(TestFixtures.host("north-2", "north"));
        add(TestFixtures.host("east-1", "east"));
    }

    @AfterEach
    void stop() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void returnsHostsOfTheCallersRegion() {
        assertThat(names("north")).containsExactlyInAnyOrder("north-1", "north-2");
        assertThat(names("south")).containsExactly("south-1");
    }

    @Test
    void omitsHostsWithoutALease() {
        fleet.hostChanged("north-1", Optional.empty());
        assertThat(names("north")).containsExactly("north-2");
    }

    /** Regression test: if the home regions of a name's routes had no region in common, any host was returned. */
    @Test
    void fallsBackToHomeRegionsIfTheCallersRegionHasNoHost() {
        fleet.configurationChanged(configuration(1, List.of(Set.of("north"), Set.of("north", "east"), Set.of())));
        assertThat(names("west")).containsExactlyInAnyOrder("north-1", "north-2");
        fleet.configurationChanged(configuration(2, List.of(Set.of("north"), Set.of("east"), Set.of("east", "west"))));
        assertThat(names("west")).containsExactly("east-1");
    }

    @Test
    void omitsUnresponsiveHostsOfItsOwnRegionOnly() {
        add(TestFixtures.host("south-2", "south"));
        fleet.host("south-2").orElseThrow().recordReport(0);
        fleet.host("north-1").orElseThrow().recordReport(0);
        unresponsive.addAll(Set.of("south-2", "north-1"));
        assertThat(names("south")).containsExactly("south-1");
        assertThat(names("north")).contains("north-1");
    }

    @Test
    void omitsItselfWhileDraining() {
        directory.markDraining();
        assertThat(names("south")).doesNotContain("south-1").isNotEmpty();
    }

    private List<String> names(String region) {
        return directory.hostsFor("h", region, "10.0.0.1").stream()
                .map(HostRecord::name)
                .toList();
    }

    private void add(HostRecord record) {
        fleet.hostChanged(record.name(), Optional.of(record));
    }

    private static ServingConfiguration configuration(long version, List<Set<String>> homes) {
        List<ServingRoute> routes = homes.stream()
                .map(regions -> TestFixtures.route("r" + regions, "/" + regions.hashCode() + '/', regions))
                .toList();
        return ServingConfiguration.of(version, routes, List.of(), Map.of(), List.of(), CallerLimits.DEFAULT);
    }
}
