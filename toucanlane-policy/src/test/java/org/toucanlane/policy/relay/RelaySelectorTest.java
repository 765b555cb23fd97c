package org.toucanlane.policy.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.relay.RelaySelector.Candidate;

class RelaySelectorTest {

    @Test
    void selectionIsIndependentOfTheInputOrder() {
        List<Candidate> hosts = new ArrayList<>(IntStream.range(0, 60)
                .mapToObj(i -> new Candidate("host-" + i, 0.36))
                .toList());
        List<String> first = RelaySelector.select(hosts);
        Collections.shuffle(hosts, new Random(3));
        assertThat(RelaySelector.select(hosts)).isEqualTo(first).hasSize(2);
    }

    @Test
    void prefersHostsWithHigherCapacity() {
        List<Candidate> hosts = new ArrayList<>(IntStream.range(0, 9)
                .mapToObj(i -> new Candidate("weak-" + i, 0.36))
                .toList());
        hosts.add(new Candidate("b", 1.5));
        hosts.add(new Candidate("c", 0.75));
        assertThat(RelaySelector.select(hosts)).containsExactly("b", "c");
    }

    @Test
    void selectsAllHostsOfASmallRegion() {
        List<Candidate> hosts = IntStream.range(0, 6)
                .mapToObj(i -> new Candidate("host-" + i, 1))
                .toList();
        assertThat(RelaySelector.select(hosts)).hasSize(6);
    }

    @Test
    void keepsTheOtherRelayWhenOneIsRemoved() {
        List<Candidate> hosts = new ArrayList<>(IntStream.range(0, 9)
                .mapToObj(i -> new Candidate("host-" + i, 1))
                .toList());
        List<String> before = RelaySelector.select(hosts);
        hosts.removeIf(host -> host.name().equals(before.get(0)));
        assertThat(RelaySelector.select(hosts).get(0)).isEqualTo(before.get(1));
    }

    @Test
    void selectsTheOnlyHost() {
        assertThat(RelaySelector.select(List.of(new Candidate("a", 1)))).containsExactly("a");
    }
}
