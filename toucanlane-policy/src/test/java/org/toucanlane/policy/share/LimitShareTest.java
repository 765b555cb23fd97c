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
    void sharesSumToAtMostOneAcrossAnyPartition(
            @ForAll @Size(min = 1, max = 12) List<@DoubleRange(min = 0, max = 1e6) Double> demands,
            @ForAll @IntRange(min = 0, max = 12) int partitionPoint) {
        int hosts = demands.size();
        int left = Math.min(partitionPoint, hosts);
        double sum = sumOfShares(demands.subList(0, left), hosts) + sumOfShares(demands.subList(left, hosts), hosts);
        assertThat(sum).isLessThanOrEqualTo(1 + 1e-9);
    }

    private static double sumOfShares(List<Double> demands, int hosts) {
        double total = demands.stream().mapToDouble(Double::doubleValue).sum();
        return demands.stream()
                .mapToDouble(own -> LimitShare.of(hosts, demands.size(), own, total))
                .sum();
    }

    @Test
    void dividesTheLimitByDemand() {
        assertThat(LimitShare.of(4, 4, 90, 100)).isGreaterThan(0.7);
        assertThat(LimitShare.of(4, 4, 10, 100)).isBetween(0.05, 0.2);
    }

    @Test
    void givesHostsWithoutDemandAPositiveShare() {
        assertThat(LimitShare.of(8, 8, 0, 100)).isPositive();
    }

    @Test
    void rejectsMoreReachableHostsThanHosts() {
        assertThatThrownBy(() -> LimitShare.of(2, 3, 1, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
