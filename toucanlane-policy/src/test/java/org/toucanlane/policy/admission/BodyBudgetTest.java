package org.toucanlane.policy.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BodyBudgetTest {

    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    private final BodyBudget budget = new BodyBudget(256 * KIB, 28 * MIB, 40 * MIB);

    /** 32 callers with bodies of 4 MiB took all memory of a host: see docs/incidents/0016. */
    @Test
    void leavesMemoryForShortBodiesWhenManyLongOnesArrive() {
        assertThat(IntStream.range(0, 32).filter(i -> budget.resize(0, 4 * MIB)).count())
                .isEqualTo(7);
        assertThat(IntStream.range(0, 100)
                        .filter(i -> budget.resize(0, 256 * KIB))
                        .count())
                .isEqualTo(48);
        assertThat(budget.total()).isEqualTo(40 * MIB);
        assertThat(budget.resize(0, 1)).isFalse();
        assertThat(budget.resize(4 * MIB, 0)).isTrue();
        assertThat(budget.resize(0, 4 * MIB)).isTrue();
    }

    @Test
    void keepsTheGrantedSizeOfABodyThatCannotGrow() {
        assertThat(budget.resize(0, 27 * MIB)).isTrue();
        assertThat(budget.resize(0, 256 * KIB)).isTrue();
        assertThat(budget.resize(256 * KIB, 2 * MIB)).isFalse();
        assertThat(budget.total()).isEqualTo(27 * MIB + 256 * KIB);
        assertThat(budget.resize(256 * KIB, MIB)).isTrue();
        assertThat(budget.resize(MIB, 0)).isTrue();
        assertThat(budget.resize(27 * MIB, 0)).isTrue();
        assertThat(budget.total()).isZero();
    }

    @Test
    void takesAPartOfASmallMemory() {
        BodyBudget small = BodyBudget.within(32 * MIB);
        assertThat(small.resize(0, 14 * MIB)).isTrue();
        assertThat(small.resize(0, 1 + 256 * KIB)).isFalse();
        assertThat(IntStream.range(0, 100)
                        .filter(i -> small.resize(0, 256 * KIB))
                        .count())
                .isEqualTo(24);
        assertThat(BodyBudget.within(1L << 40).resize(0, 28 * MIB)).isTrue();
    }

    /** Bodies that stop short of their end keep their memory for as long as a connection may be idle. */
    @Test
    void letsOldIncompleteBodiesGiveWay() {
        long old = BodyBudget.MIN_EVICTION_AGE.toNanos();
        assertThat(budget.givesWay(4 * MIB, old, 1)).isTrue();
        assertThat(budget.givesWay(4 * MIB, old, 4 * MIB)).isTrue();
        assertThat(budget.givesWay(KIB, old, KIB)).isTrue();
        assertThat(budget.givesWay(KIB, old, 4 * MIB)).isFalse();
        assertThat(budget.givesWay(4 * MIB, old - 1, 1)).isFalse();
        assertThat(budget.givesWay(0, old, 1)).isFalse();
    }
}
