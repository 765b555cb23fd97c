package org.toucanlane.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LinkPlanTest {

    private static final Duration BASE = Duration.ofMillis(500);

    private static Map<String, List<String>> fleet(int dataCentres, int hosts) {
        Map<String, List<String>> fleet = new HashMap<>();
        for (int i = 0; i < hosts; i++) {
            fleet.computeIfAbsent("d" + i % dataCentres, key -> new ArrayList<>())
                    .add("h" + i);
        }
        return fleet;
    }

    private static double heartbeatsPerSecond(Map<String, Duration> plan) {
        return plan.values().stream()
                .mapToDouble(interval -> 1000.0 / interval.toMillis())
                .sum();
    }

    @Test
    void aSmallFleetIsFullyLinked() {
        Map<String, Duration> plan = LinkPlan.heartbeatIntervals("h0", "d0", fleet(3, 8), Set.of(), BASE);
        assertThat(plan).hasSize(7).doesNotContainKey("h0").containsValue(BASE);
    }

    @Test
    void heartbeatRateIsBoundedInALargeFleet() {
        Map<String, Duration> plan = LinkPlan.heartbeatIntervals("h0", "d0", fleet(23, 350), Set.of(), BASE);
        assertThat(plan.size()).isLessThanOrEqualTo(15 + 22 * LinkPlan.LINKS_PER_DATA_CENTRE);
        assertThat(heartbeatsPerSecond(plan)).isLessThanOrEqualTo(32);
        assertThat(plan.values()).allMatch(interval -> interval.compareTo(Duration.ofSeconds(3)) <= 0);
    }

    @Test
    void everyHostOfALargeFleetIsLinkedIntoEveryDataCentre() {
        Map<String, List<String>> fleet = fleet(23, 350);
        Map<String, Duration> plan = LinkPlan.heartbeatIntervals("h0", "d0", fleet, Set.of("h100"), BASE);
        assertThat(fleet.values()).allMatch(hosts -> hosts.stream().anyMatch(plan::containsKey));
        assertThat(plan).containsKey("h100");
    }
}
