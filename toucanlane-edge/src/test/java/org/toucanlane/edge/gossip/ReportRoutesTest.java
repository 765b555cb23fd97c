package org.toucanlane.edge.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.toucanlane.edge.TestFixtures;
import org.toucanlane.edge.fleet.HostRecord;

class ReportRoutesTest {

    /** Regions with more hosts than relays, with as many, and with a single host. */
    private static final List<HostRecord> FLEET = Stream.of(
                    hosts("south", 30), hosts("north", 7), hosts("east", 6), hosts("west", 1))
            .flatMap(List::stream)
            .toList();

    private static final Map<String, ReportRoutes> ROUTES =
            FLEET.stream().collect(Collectors.toMap(HostRecord::name, ReportRoutesTest::routesOf));

    @Test
    void reachesEveryHostInThreeSteps() {
        for (HostRecord origin : FLEET) {
            Set<String> reached = new HashSet<>(Set.of(origin.name()));
            for (int step = 0; step < 3; step++) {
                Set<String> next = reached.stream()
                        .flatMap(name -> names(ROUTES.get(name).allReceivers()))
                        .collect(Collectors.toSet());
                reached.addAll(next);
            }
            assertThat(reached).as("from %s", origin.name()).hasSize(FLEET.size());
        }
    }

    @Test
    void onlyAggregatorsSendToOtherHostsThanTheRelaysOfTheirRegion() {
        Map<String, Long> aggregators = ROUTES.values().stream()
                .filter(ReportRoutes::isAggregator)
                .collect(Collectors.groupingBy(routes -> routes.self().region(), Collectors.counting()));
        assertThat(aggregators).isEqualTo(Map.of("south", 2L, "north", 2L, "east", 2L, "west", 1L));
        ROUTES.values().stream()
                .filter(routes -> !routes.isAggregator())
                .forEach(routes -> assertThat(routes.allReceivers()).isEqualTo(routes.ownRelays()));
    }

    @Test
    void sendsToNoHostTwiceNorToItself() {
        ROUTES.values()
                .forEach(routes -> assertThat(names(routes.allReceivers()).toList())
                        .doesNotHaveDuplicates()
                        .doesNotContain(routes.self().name()));
    }

    @Test
    void agreesOnTheRelaysOfEachRegion() {
        Function<ReportRoutes, String> region = routes -> routes.self().region();
        Map<String, Set<List<String>>> relays = ROUTES.values().stream()
                .collect(Collectors.groupingBy(region, Collectors.mapping(ReportRoutes::relays, Collectors.toSet())));
        assertThat(relays.values())
                .allSatisfy(selections -> assertThat(selections).hasSize(1));
        List<String> all = relays.values().stream()
                .flatMap(Set::stream)
                .flatMap(List::stream)
                .toList();
        ROUTES.values()
                .forEach(routes -> assertThat(names(routes.remoteRelays()))
                        .containsExactlyInAnyOrderElementsOf(all.stream()
                                .filter(name -> !name.startsWith(region.apply(routes)))
                                .toList()));
    }

    private static ReportRoutes routesOf(HostRecord self) {
        return ReportRoutes.of(
                self, FLEET.stream().filter(host -> !host.equals(self)).toList());
    }

    private static List<HostRecord> hosts(String region, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> TestFixtures.host(region + i, region))
                .toList();
    }

    private static Stream<String> names(Collection<HostRecord> hosts) {
        return hosts.stream().map(HostRecord::name);
    }
}
