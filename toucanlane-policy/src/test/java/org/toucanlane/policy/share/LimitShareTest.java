package org.toucanlane.policy.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LimitShareTest {

    @Property
    void partsSumToAtMostOneOnBothSidesOfAnyCut(
            @ForAll @Size(min = 1, max = 12) List<@DoubleRange(min = 0, max = 1e6) Double> demands,
            @ForAll @IntRange(min = 0, max = 12) int cut) {
        int hosts = demands.size();
        int left = Math.min(cut, hosts);
        double sum = sumOf(demands.subList(0, left), hosts) + sumOf(demands.subList(left, hosts), hosts);
        assertThat(sum).isLessThanOrEqualTo(1 + 1e-9);
    }

    private static double sumOf(List<Double> side, int hosts) {
        double total = side.stream().mapToDouble(Double::doubleValue).sum();
        return side.stream()
                .mapToDouble(own -> LimitShare.of(hosts, side.size(), own, total))
                .sum();
    }

    @Test
    void followsDemand() {
        assertThat(LimitShare.of(4, 4, 90, 100)).isGreaterThan(0.7);
        assertThat(LimitShare.of(4, 4, 10, 100)).isBetween(0.05, 0.2);
    }

    @Test
    void leavesEveryHostSomething() {
        assertThat(LimitShare.of(8, 8, 0, 100)).isPositive();
    }

    @Test
    void refusesMoreReachableHostsThanHosts() {
        assertThatThrownBy(() -> LimitShare.of(2, 3, 1, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
