package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class LongPromptPoolTest {

    private static final long SECOND = 1_000_000_000L;
    private static final PromptSize LONG = new PromptSize(9_190, 6_300, 52);
    private static final PromptSize SHORT = new PromptSize(826, 198, 292);
    private static final Map<String, Integer> ENGINES = Map.of("north", 6, "south", 4, "west", 3);

    private final List<Long> engines = LongStream.range(0, 8).boxed().toList();

    @Test
    void leavesAtLeastOneEngineOnEachSide() {
        assertThat(new LongPromptPool(0.01).members(engines)).hasSize(1);
        assertThat(new LongPromptPool(0.99).members(engines)).hasSize(7);
        assertThat(new LongPromptPool(0.5).members(List.of(1L))).isEmpty();
        assertThat(LongPromptPool.NONE.members(engines)).isEmpty();
        assertThat(LongPromptPool.ALL.members(engines)).hasSize(8);
    }

    @Test
    void keepsItsMembersWhenItGrows() {
        Set<Long> small = new LongPromptPool(0.25).members(engines);
        assertThat(new LongPromptPool(0.5).members(engines)).containsAll(small);
    }

    @Test
    void rejectsAFractionOutOfRange() {
        assertThatThrownBy(() -> new LongPromptPool(1.5))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("1.5");
    }

    /** Short prompts are bound to two of three regions, so long prompts get the third region's engines first. */
    @Test
    void givesLongPromptsTheRegionsThatOthersMayNotUse() {
        PromptDemand demand = new PromptDemand();
        for (int i = 0; i < 100; i++) {
            demand.record(LONG, 2_890, 64, Set.of(), SECOND);
            for (int j = 0; j < 3; j++) {
                demand.record(SHORT, 628, 64, Set.of("north", "south"), SECOND);
            }
        }
        assertThat(demand.pool("west", ENGINES, SECOND)).isEqualTo(LongPromptPool.ALL);
        assertThat(demand.pool("north", ENGINES, SECOND).fraction()).isBetween(0.05, 0.25);
        assertThat(demand.pool("south", ENGINES, SECOND).fraction())
                .isEqualTo(demand.pool("north", ENGINES, SECOND).fraction());
    }

    @Test
    void followsAShiftOfTheLoadWithinSeconds() {
        PromptDemand demand = new PromptDemand();
        for (int i = 0; i < 100; i++) {
            demand.record(LONG, 9_190, 64, Set.of(), SECOND);
            demand.record(SHORT, 628, 64, Set.of(), SECOND);
        }
        double before = demand.pool("north", ENGINES, SECOND).fraction();
        for (int i = 0; i < 300; i++) {
            demand.record(SHORT, 628, 64, Set.of(), 13 * SECOND);
        }
        assertThat(demand.pool("north", ENGINES, 13 * SECOND).fraction()).isLessThan(before / 2);
    }

    @Test
    void dividesNothingWithoutEnoughWork() {
        PromptDemand demand = new PromptDemand();
        demand.record(LONG, 9_190, 64, Set.of(), SECOND);
        assertThat(demand.pool("north", ENGINES, SECOND)).isEqualTo(LongPromptPool.NONE);
    }
}
