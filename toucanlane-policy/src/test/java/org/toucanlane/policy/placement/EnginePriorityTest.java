package org.toucanlane.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EnginePriorityTest {

    private static final double PREFILL_TOKENS_PER_MILLI = 54;
    private static final int REQUESTS = 6_000;

    /** Simulates five prompts of 300 tokens for each prompt of 17,000, at 0.95 of an engine's prefill capacity. */
    @Test
    void shortPromptsOvertakeLongPromptsWithLittleDelayToThem() {
        List<Double> fifo = new ArrayList<>();
        List<Double> byPriority = new ArrayList<>();
        double longFifo = simulate(Comparator.comparingDouble(Prompt::arrival), fifo);
        double longByPriority =
                simulate(Comparator.comparingInt(Prompt::priority).thenComparingDouble(Prompt::arrival), byPriority);
        assertThat(percentile(fifo, 0.9))
                .as("90th percentile with FIFO exceeds an objective of 800 ms")
                .isGreaterThan(800);
        assertThat(percentile(byPriority, 0.9))
                .as("below the prefill time of one long prompt at the 90th percentile")
                .isLessThan(17_000 / PREFILL_TOKENS_PER_MILLI);
        assertThat(mean(byPriority)).isLessThan(mean(fifo) / 4);
        assertThat(longByPriority).isLessThan(longFifo * 1.1);
    }

    /** Returns the mean wait of the long prompts, and adds the waits of the short prompts to {@code shortWaits}. */
    private static double simulate(Comparator<Prompt> order, List<Double> shortWaits) {
        Random random = new Random(17);
        double meanTokens = (17_000 + 5 * 300) / 6.0;
        double meanInterarrivalMillis = meanTokens / PREFILL_TOKENS_PER_MILLI / 0.95;
        List<Prompt> arrivals = new ArrayList<>();
        double at = 0;
        for (int i = 0; i < REQUESTS; i++) {
            at += -Math.log(1 - random.nextDouble()) * meanInterarrivalMillis;
            boolean isLong = i % 6 == 0;
            arrivals.add(new Prompt(at, isLong ? 17_000 : 300, EnginePriority.of(isLong ? 1 : 0, false)));
        }
        PriorityQueue<Prompt> waiting = new PriorityQueue<>(order);
        double now = 0;
        double longWaits = 0;
        int next = 0;
        while (next < arrivals.size() || !waiting.isEmpty()) {
            if (waiting.isEmpty()) {
                now = Math.max(now, arrivals.get(next).arrival());
            }
            while (next < arrivals.size() && arrivals.get(next).arrival() <= now) {
                waiting.add(arrivals.get(next++));
            }
            Prompt prompt = waiting.remove();
            double wait = now - prompt.arrival();
            if (prompt.priority() == EnginePriority.of(0, false)) {
                shortWaits.add(wait);
            } else {
                longWaits += wait;
            }
            now += prompt.tokens() / PREFILL_TOKENS_PER_MILLI;
        }
        return longWaits * 6 / REQUESTS;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }

    private static double percentile(List<Double> values, double fraction) {
        return values.stream()
                .sorted()
                .skip((long) (values.size() * fraction))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void schedulesResumedStreamsFirst() {
        assertThat(EnginePriority.of(3, true)).isLessThan(EnginePriority.of(0, false));
        assertThat(EnginePriority.of(1, false)).isGreaterThan(EnginePriority.of(0, false));
    }

    @Test
    void rejectsANegativeRank() {
        assertThatThrownBy(() -> EnginePriority.of(-1, false)).hasMessageContaining("-1");
    }

    private record Prompt(double arrival, int tokens, int priority) {}
}
