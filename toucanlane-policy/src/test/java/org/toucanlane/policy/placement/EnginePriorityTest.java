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

    private static final double TOKENS_PER_MILLI = 54;
    private static final int REQUESTS = 6_000;

    /** Replays five questions of 300 tokens a prompt of 17,000, at 0.95 of what an engine can read. */
    @Test
    void letsQuestionsPassLongPromptsThatHardlyNotice() {
        List<Double> inOrder = new ArrayList<>();
        List<Double> byLevel = new ArrayList<>();
        double longInOrder = replay(Comparator.comparingDouble(Prompt::at), inOrder);
        double longByLevel = replay(Comparator.comparingInt(Prompt::level).thenComparingDouble(Prompt::at), byLevel);
        assertThat(percentile(inOrder, 0.9))
                .as("late for an objective of 800 ms")
                .isGreaterThan(800);
        assertThat(percentile(byLevel, 0.9)).as("one long prompt ahead at most").isLessThan(17_000 / TOKENS_PER_MILLI);
        assertThat(mean(byLevel)).isLessThan(mean(inOrder) / 4);
        assertThat(longByLevel).isLessThan(longInOrder * 1.1);
    }

    /** Returns the mean wait of long prompts, and adds the waits of questions to {@code waits}. */
    private static double replay(Comparator<Prompt> order, List<Double> waits) {
        Random random = new Random(17);
        double meanTokens = (17_000 + 5 * 300) / 6.0;
        double gap = meanTokens / TOKENS_PER_MILLI / 0.95;
        List<Prompt> arrivals = new ArrayList<>();
        double at = 0;
        for (int i = 0; i < REQUESTS; i++) {
            at += -Math.log(1 - random.nextDouble()) * gap;
            boolean isLong = i % 6 == 0;
            arrivals.add(new Prompt(at, isLong ? 17_000 : 300, EnginePriority.of(isLong ? 1 : 0, false)));
        }
        PriorityQueue<Prompt> waiting = new PriorityQueue<>(order);
        double now = 0;
        double longWaits = 0;
        int next = 0;
        while (next < arrivals.size() || !waiting.isEmpty()) {
            if (waiting.isEmpty()) {
                now = Math.max(now, arrivals.get(next).at());
            }
            while (next < arrivals.size() && arrivals.get(next).at() <= now) {
                waiting.add(arrivals.get(next++));
            }
            Prompt prompt = waiting.remove();
            double wait = now - prompt.at();
            if (prompt.level() == EnginePriority.of(0, false)) {
                waits.add(wait);
            } else {
                longWaits += wait;
            }
            now += prompt.tokens() / TOKENS_PER_MILLI;
        }
        return longWaits * 6 / REQUESTS;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }

    private static double percentile(List<Double> values, double part) {
        return values.stream()
                .sorted()
                .skip((long) (values.size() * part))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void resumesBrokenStreamsFirst() {
        assertThat(EnginePriority.of(3, true)).isLessThan(EnginePriority.of(0, false));
        assertThat(EnginePriority.of(1, false)).isGreaterThan(EnginePriority.of(0, false));
    }

    @Test
    void refusesANegativeRank() {
        assertThatThrownBy(() -> EnginePriority.of(-1, false)).hasMessageContaining("-1");
    }

    private record Prompt(double at, int tokens, int level) {}
}
