package org.toucanlane.policy.directory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.directory.CallerSpread.Candidate;

class CallerSpreadTest {

    private static final long SEED = 42;

    /** Load: 3 hosts of 1.5 cores, 6 of 0.9 and 18 of 0.27, and callers that each connect to a random host. */
    @Test
    void loadsHostsInProportionToTheirCapacity() {
        List<Candidate> hosts = region(Map.of(1.5, 3, 0.9, 6, 0.27, 18));
        Map<String, Integer> connections = connect(hosts, 20_000);
        double total = hosts.stream().mapToDouble(Candidate::capacity).sum();
        for (Candidate host : hosts) {
            double fair = 20_000 * host.capacity() / total;
            assertThat((double) connections.getOrDefault(host.name(), 0))
                    .as(host.name())
                    .isBetween(0.75 * fair, 1.25 * fair);
        }
    }

    @Test
    void namesAllHostsIfTheirCapacitiesAreSimilar() {
        List<Candidate> hosts = region(Map.of(0.75, 3, 0.4, 4));
        assertThat(CallerSpread.select(hosts, "10.0.0.1")).containsExactlyInAnyOrderElementsOf(names(hosts));
    }

    @Test
    void keepsTheSelectionOfOtherCallersIfAHostLeaves() {
        List<Candidate> hosts = region(Map.of(1.5, 8, 0.27, 12));
        List<Candidate> rest = hosts.subList(0, hosts.size() - 1);
        String left = hosts.get(hosts.size() - 1).name();
        for (int caller = 0; caller < 200; caller++) {
            List<String> before = new ArrayList<>(CallerSpread.select(hosts, "caller" + caller));
            before.remove(left);
            assertThat(CallerSpread.select(rest, "caller" + caller)).containsExactlyElementsOf(before);
        }
    }

    @Test
    void namesSeveralHostsAlthoughOneIsMuchLarger() {
        List<Candidate> hosts = region(Map.of(16.0, 1, 0.1, 10));
        for (int caller = 0; caller < 50; caller++) {
            assertThat(CallerSpread.select(hosts, "caller" + caller)).hasSize(CallerSpread.MIN_HOSTS);
        }
    }

    @Test
    void selectsNothingFromNothing() {
        assertThat(CallerSpread.select(List.of(), "10.0.0.1")).isEmpty();
    }

    @Test
    void rejectsHostWithoutCapacity() {
        assertThatThrownBy(() -> new Candidate("a", 0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("host a")
                .hasMessageContaining("0.0");
    }

    private static Map<String, Integer> connect(List<Candidate> hosts, int callers) {
        Random random = new Random(SEED);
        Map<String, Integer> connections = new HashMap<>();
        for (int caller = 0; caller < callers; caller++) {
            List<String> named = CallerSpread.select(hosts, "caller" + caller);
            connections.merge(named.get(random.nextInt(named.size())), 1, Integer::sum);
        }
        return connections;
    }

    private static List<Candidate> region(Map<Double, Integer> hostsByCapacity) {
        List<Candidate> hosts = new ArrayList<>();
        hostsByCapacity.entrySet().stream()
                .sorted(Map.Entry.<Double, Integer>comparingByKey().reversed())
                .forEach(entry -> IntStream.range(0, entry.getValue())
                        .forEach(index ->
                                hosts.add(new Candidate("host-" + entry.getKey() + "-" + index, entry.getKey()))));
        return hosts;
    }

    private static List<String> names(List<Candidate> hosts) {
        return hosts.stream().map(Candidate::name).toList();
    }
}
