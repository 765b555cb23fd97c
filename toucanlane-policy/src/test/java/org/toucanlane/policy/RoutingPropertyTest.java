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

    private static final EndpointSelector ENDPOINTS = EndpointSelector.withBalanceFactor(1.25);
    private static final DataCentreRanker CENTRES = DataCentreRanker.of(RoutingWeights.defaults());

    @Property(tries = 1000, seed = "20261204")
    void neverAnEndpointThatIsUnavailableOrTried(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        List<EndpointView> views = IntStream.range(0, random.nextInt(12))
                .mapToObj(i -> EndpointView.of(
                        "e" + i, 1 + random.nextInt(8), random.nextInt(9), random.nextInt(9), random.nextBoolean()))
                .toList();
        Set<String> tried = Set.of("e" + random.nextInt(12));
        String affinity = random.nextBoolean() ? "prompt" + random.nextInt(5) : "";
        EndpointSelection choice = ENDPOINTS.select(views, affinity, tried, random);
        boolean any = views.stream().anyMatch(view -> view.available() && !tried.contains(view.name()));
        assertThat(choice.endpoint().isPresent()).isEqualTo(any);
        choice.endpoint().ifPresent(name -> {
            assertThat(tried).doesNotContain(name);
            assertThat(views).anyMatch(view -> view.name().equals(name) && view.available());
        });
    }

    @Property(tries = 1000, seed = "20261204")
    void neverADataCentreOutsideTheResidencyOrOutOfReach(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
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
        List<DataCentreRanker.Candidate> ranked = CENTRES.rank(views, Set.of("d5"));
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
    void staysAtHomeUntilGoingAwayIsBetterByTheMargin() {
        assertThat(bestWith(0.8, 0)).isEqualTo("home");
        assertThat(bestWith(1.0, 0)).isEqualTo("home");
        assertThat(bestWith(1.5, 0.2)).isEqualTo("away");
        assertThat(bestWith(1.5, 1.5)).isEqualTo("home");
    }

    private static String bestWith(double homeLoad, double awayLoad) {
        List<DataCentreView> views = List.of(
                new DataCentreView("home", true, true, true, 4, homeLoad, 0),
                new DataCentreView("away", false, true, true, 4, awayLoad, 110));
        return CENTRES.rank(views, Set.of()).get(0).view().name();
    }

    @Test
    void theSamePromptGoesToTheSameEndpointUntilItIsFull() {
        List<EndpointView> idle = IntStream.range(0, 8)
                .mapToObj(i -> EndpointView.of("e" + i, 8, 0, 0, true))
                .toList();
        Set<String> chosen = Set.copyOf(IntStream.range(0, 50)
                .mapToObj(seed -> ENDPOINTS
                        .select(idle, "prompt", Set.of(), new Random(seed))
                        .endpoint()
                        .orElseThrow())
                .distinct()
                .toList());
        assertThat(chosen).hasSize(1);
    }

    /** Many deciders with the same stale view: the busiest endpoint gets a bounded multiple of the mean. */
    @Test
    void decidersWithTheSameStaleViewDoNotAllChooseTheSameEndpoint() {
        List<EndpointView> stale = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            stale.add(EndpointView.of("e" + i, 8, 0, i == 3 ? 0 : 4, true));
        }
        Map<String, Integer> counts = new HashMap<>();
        Random independent = new Random(20261204);
        for (int decider = 0; decider < 3200; decider++) {
            String name = ENDPOINTS
                    .select(stale, "", Set.of(), independent)
                    .endpoint()
                    .orElseThrow();
            counts.merge(name, 1, Integer::sum);
        }
        assertThat(counts.values()).allMatch(count -> count <= 3 * 3200 / 16);
    }
}
