package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
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
import org.toucanlane.policy.admission.AdmissionLimit;
import org.toucanlane.policy.capacity.EngineProfile;

class EndpointPlacerTest {

    private static final PromptSize LONG_PROMPT = new PromptSize(17_000, 13_300, 120);

    private static final AdmissionLimit LIMIT = new AdmissionLimit(Duration.ofMillis(1_000), 0);

    private final RandomGenerator random = new Random(7);

    @Test
    void placesARequestAtTheEndpointThatCachedItsPrefix() {
        List<PlacementCandidate> candidates =
                List.of(candidate(load("a", 3, 2_000), 13_300), candidate(load("b", 0, 0), 0));
        Placement placement =
                EndpointPlacer.place(candidates, LONG_PROMPT, LIMIT, 1, random).orElseThrow();
        assertThat(placement.endpoint()).isEqualTo("a");
        assertThat(placement.newTokens()).isEqualTo(3_700);
    }

    @Test
    void leavesTheEndpointWithThePrefixWhenItsBacklogCostsMoreThanPrefillingAgain() {
        List<PlacementCandidate> candidates =
                List.of(candidate(load("a", 10, 40_000), 13_300), candidate(load("b", 0, 0), 0));
        assertThat(EndpointPlacer.place(candidates, LONG_PROMPT, LIMIT, 1, random)
                        .orElseThrow()
                        .endpoint())
                .isEqualTo("b");
    }

    @Test
    void ranksEquallyFastEndpointsIndependentlyOfTheRandomSource() {
        List<PlacementCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            candidates.add(candidate(load("e" + i, 1, 0), 0));
        }
        for (long affinity = 1; affinity < 50; affinity++) {
            String first = EndpointPlacer.place(candidates, LONG_PROMPT, LIMIT, affinity, new Random(1))
                    .orElseThrow()
                    .endpoint();
            String second = EndpointPlacer.place(candidates, LONG_PROMPT, LIMIT, affinity, new Random(2))
                    .orElseThrow()
                    .endpoint();
            assertThat(second).isEqualTo(first);
        }
    }

    @Test
    void avoidsAnEndpointWithAHighFailureRate() {
        EndpointLoad failing = new EndpointLoad("a", 1, 6, 0, 0, 0, 0, 1, 0.4, 40, EngineProfile.START);
        EndpointLoad healthy = new EndpointLoad("b", 2, 6, 3, 0, 0, 0, 1, 0, 40, EngineProfile.START);
        List<PlacementCandidate> candidates = List.of(candidate(failing, 0), candidate(healthy, 0));
        assertThat(EndpointPlacer.place(candidates, PromptSize.NONE, LIMIT, 0, random)
                        .orElseThrow()
                        .endpoint())
                .isEqualTo("b");
    }

    @Test
    void returnsEmptyWithoutCandidates() {
        assertThat(EndpointPlacer.place(List.of(), LONG_PROMPT, LIMIT, 1, random))
                .isEmpty();
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
                candidates.add(candidate(load(id, 2, workload.nextInt(4_000)), cached ? 13_300 : 0));
            }
            Placement placement = EndpointPlacer.place(
                            candidates, LONG_PROMPT, LIMIT, RendezvousHash.hash("prefix" + prefix), random)
                    .orElseThrow();
            prefills += cachedPrefixes.get(placement.endpoint()).add(prefix) ? 1 : 0;
        }
        assertThat(prefills).isEqualTo(59);
    }

    /** A cold long prompt goes to the engine without streams, although another one could start it sooner. */
    @Test
    void keepsALongPromptAwayFromEnginesThatServeOtherStreams() {
        PlacementCandidate misplaced = new PlacementCandidate(load("a", 0, 0), 0, 1, 0);
        PlacementCandidate preferred = new PlacementCandidate(load("b", 4, 12_000), 0, 0, 0);
        assertThat(EndpointPlacer.place(List.of(misplaced, preferred), LONG_PROMPT, LIMIT, 1, random)
                        .orElseThrow()
                        .endpoint())
                .isEqualTo("b");
    }

    /**
     * Guards against refusals while another endpoint could take the request: the cheapest one by all other measures is
     * over the limit because of its distance.
     */
    @Test
    void prefersAnEndpointWhereTheRequestIsAdmitted() {
        AdmissionLimit limit = new AdmissionLimit(Duration.ofMillis(800), 0);
        PromptSize size = new PromptSize(383, 0, 44);
        PlacementCandidate failing = new PlacementCandidate(loadWithFailures("near", 26_000, 0.3), 0, 0, 0);
        PlacementCandidate far = new PlacementCandidate(loadWithFailures("far", 25_000, 0), 0, 0, 170);
        Placement placement = EndpointPlacer.place(List.of(failing, far), size, limit, 0, random)
                .orElseThrow();
        assertThat(placement.endpoint()).isEqualTo("near");
        assertThat(limit.admits(placement.waitMillis(), placement.estimateMillis() - placement.waitMillis()))
                .isTrue();
    }

    private static EndpointLoad loadWithFailures(String id, long pendingPromptTokens, double failureRate) {
        return new EndpointLoad(
                id,
                RendezvousHash.hash(id),
                64,
                10,
                pendingPromptTokens,
                40_000,
                348_000,
                1,
                failureRate,
                800,
                EngineProfile.START);
    }

    private static PlacementCandidate candidate(EndpointLoad load, long cachedTokens) {
        return new PlacementCandidate(load, cachedTokens, 0, 0);
    }

    private static EndpointLoad load(String id, int running, long pendingPromptTokens) {
        return new EndpointLoad(
                id,
                RendezvousHash.hash(id),
                64,
                running,
                pendingPromptTokens,
                running * 4_000L,
                348_000,
                1,
                0,
                800,
                EngineProfile.START);
    }
}
