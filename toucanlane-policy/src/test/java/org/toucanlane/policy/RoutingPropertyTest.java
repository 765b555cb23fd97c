package org.toucanlane.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanlane.policy.routing.DataCentreRanker;
import org.toucanlane.policy.routing.DataCentreView;
import org.toucanlane.policy.routing.EndpointSelection;
import org.toucanlane.policy.routing.EndpointSelector;
import org.toucanlane.policy.routing.EndpointView;
import org.toucanlane.policy.routing.RoutingWeights;

class RoutingPropertyTest {

    private static final EndpointSelector ENDPOINT_SELECTOR = EndpointSelector.withBalanceFactor(1.25);
    private static final DataCentreRanker DATA_CENTRE_RANKER = DataCentreRanker.of(RoutingWeights.defaults());

    @Property(tries = 1000, seed = "20261204")
    void neverSelectsAnUnavailableOrTriedEndpoint(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<EndpointView> views = IntStream.range(0, random.nextInt(12))
                .mapToObj(i -> EndpointView.of(
                        "e" + i, 1 + random.nextInt(8), random.nextInt(9), random.nextInt(9), random.nextBoolean()))
                .toList();
        Set<String> tried = Set.of("e" + random.nextInt(12));
        String affinity = random.nextBoolean() ? "prompt" + random.nextInt(5) : "";
        EndpointSelection selection = ENDPOINT_SELECTOR.select(views, affinity, tried, random);
        boolean anyUsable = views.stream().anyMatch(view -> view.available() && !tried.contains(view.name()));
        assertThat(selection.endpoint().isPresent()).isEqualTo(anyUsable);
        selection.endpoint().ifPresent(name -> {
            assertThat(tried).doesNotContain(name);
            assertThat(views).anyMatch(view -> view.name().equals(name) && view.available());
        });
    }

    @Property(tries = 1000, seed = "20261204")
    void neverRanksADisallowedUnreachableOrTriedDataCentre(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<DataCentreView> views = IntStream.range(0, 6)
                .mapToObj(i -> new DataCentreView(
                        "d" + i,
                        i == 0,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextInt(3),
                        random.nextDouble() * 2,
                        i * 20))
                .toList();
        List<DataCentreRanker.Candidate> ranked = DATA_CENTRE_RANKER.rank(views, Set.of("d5"));
        assertThat(ranked)
                .allMatch(candidate -> candidate.view().allowed()
                        && candidate.view().reachable()
                        && candidate.view().endpoints() > 0
                        && !candidate.view().name().equals("d5"));
        assertThat(ranked).hasSize((int) views.stream()
                .filter(view -> view.isUsable() && !view.name().equals("d5"))
                .count());
    }

    @Test
    void prefersTheLocalDataCentreUntilARemoteOneIsBetterByTheMargin() {
        assertThat(bestWith(0.8, 0)).isEqualTo("home");
        assertThat(bestWith(1.0, 0)).isEqualTo("home");
        assertThat(bestWith(1.5, 0.2)).isEqualTo("away");
        assertThat(bestWith(1.5, 1.5)).isEqualTo("home");
    }

    private static String bestWith(double localLoad, double remoteLoad) {
        List<DataCentreView> views = List.of(
                new DataCentreView("home", true, true, true, 4, localLoad, 0),
                new DataCentreView("away", false, true, true, 4, remoteLoad, 110));
        return DATA_CENTRE_RANKER.rank(views, Set.of()).get(0).view().name();
    }

    @Test
    void selectsTheSameEndpointForTheSamePromptWhenIdle() {
        List<EndpointView> idle = IntStream.range(0, 8)
                .mapToObj(i -> EndpointView.of("e" + i, 8, 0, 0, true))
                .toList();
        Set<String> chosen = Set.copyOf(IntStream.range(0, 50)
                .mapToObj(seed -> ENDPOINT_SELECTOR
                        .select(idle, "prompt", Set.of(), new Random(seed))
                        .endpoint()
                        .orElseThrow())
                .distinct()
                .toList());
        assertThat(chosen).hasSize(1);
    }

    /**
     * Guards against a herd effect: when many selectors share a stale view in which one endpoint looks idle, the
     * busiest endpoint still receives only a bounded multiple of the mean.
     */
    @Test
    void selectorsWithTheSameStaleViewDoNotAllSelectTheSameEndpoint() {
        List<EndpointView> stale = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            stale.add(EndpointView.of("e" + i, 8, 0, i == 3 ? 0 : 4, true));
        }
        Map<String, Integer> counts = new HashMap<>();
        Random random = new Random(20261204);
        for (int i = 0; i < 3200; i++) {
            String name = ENDPOINT_SELECTOR
                    .select(stale, "", Set.of(), random)
                    .endpoint()
                    .orElseThrow();
            counts.merge(name, 1, Integer::sum);
        }
        assertThat(counts.values()).allMatch(count -> count <= 3 * 3200 / 16);
    }
}
