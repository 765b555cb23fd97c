package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.hash.RendezvousHash;

class EndpointPlacerTest {

    private static final PromptSize LONG_PROMPT = new PromptSize(17_000, 13_300, 120);

    private final RandomGenerator random = new Random(7);

    @Test
    void placesARequestAtTheEndpointThatCachedItsPrefix() {
        List<PlacementCandidate> candidates = List.of(
                new PlacementCandidate(load("a", 3, 2_000), 13_300), new PlacementCandidate(load("b", 0, 0), 0));
        Placement placement =
                EndpointPlacer.place(candidates, LONG_PROMPT, 1, random).orElseThrow();
        assertThat(placement.endpoint()).isEqualTo("a");
        assertThat(placement.newTokens()).isEqualTo(3_700);
    }

    @Test
    void leavesTheEndpointWithThePrefixWhenItsBacklogCostsMoreThanPrefillingAgain() {
        List<PlacementCandidate> candidates = List.of(
                new PlacementCandidate(load("a", 10, 40_000), 13_300), new PlacementCandidate(load("b", 0, 0), 0));
        assertThat(EndpointPlacer.place(candidates, LONG_PROMPT, 1, random)
                        .orElseThrow()
                        .endpoint())
                .isEqualTo("b");
    }

    @Test
    void ranksEquallyFastEndpointsIndependentlyOfTheRandomSource() {
        List<PlacementCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            candidates.add(new PlacementCandidate(load("e" + i, 1, 0), 0));
        }
        for (long affinity = 1; affinity < 50; affinity++) {
            String first = EndpointPlacer.place(candidates, LONG_PROMPT, affinity, new Random(1))
                    .orElseThrow()
                    .endpoint();
            String second = EndpointPlacer.place(candidates, LONG_PROMPT, affinity, new Random(2))
                    .orElseThrow()
                    .endpoint();
            assertThat(second).isEqualTo(first);
        }
    }

    @Test
    void avoidsAnEndpointWithAHighFailureRate() {
        EndpointLoad failing = new EndpointLoad("a", 1, 6, 0, 0, 0, 0, 1, 0.4, 40);
        EndpointLoad healthy = new EndpointLoad("b", 2, 6, 3, 0, 0, 0, 1, 0, 40);
        List<PlacementCandidate> candidates =
                List.of(new PlacementCandidate(failing, 0), new PlacementCandidate(healthy, 0));
        assertThat(EndpointPlacer.place(candidates, PromptSize.NONE, 0, random)
                        .orElseThrow()
                        .endpoint())
                .isEqualTo("b");
    }

    @Test
    void returnsEmptyWithoutCandidates() {
        assertThat(EndpointPlacer.place(List.of(), LONG_PROMPT, 1, random)).isEmpty();
    }

    /** Simulates requests with 59 uniformly drawn shared prefixes on four engines that each cache a quarter of them. */
    @Test
    void prefillsEachSharedPrefixOnce() {
        Map<String, Set<Integer>> cachedPrefixes = new HashMap<>();
        int prefills = 0;
        int requests = 600;
        Random workload = new Random(3);
        for (int i = 0; i < requests; i++) {
            int prefix = workload.nextInt(59);
            List<PlacementCandidate> candidates = new ArrayList<>();
            for (String id : List.of("a", "b", "c", "d")) {
                boolean cached = cachedPrefixes
                        .computeIfAbsent(id, key -> new HashSet<>())
                        .contains(prefix);
                candidates.add(new PlacementCandidate(load(id, 2, workload.nextInt(4_000)), cached ? 13_300 : 0));
            }
            Placement placement = EndpointPlacer.place(
                            candidates, LONG_PROMPT, RendezvousHash.hash("prefix" + prefix), random)
                    .orElseThrow();
            prefills += cachedPrefixes.get(placement.endpoint()).add(prefix) ? 1 : 0;
        }
        assertThat(prefills).isEqualTo(59);
    }

    private static EndpointLoad load(String id, int running, long pendingPromptTokens) {
        return new EndpointLoad(
                id, RendezvousHash.hash(id), 64, running, pendingPromptTokens, running * 4_000L, 348_000, 1, 0, 800);
    }
}
