package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Exhaustively searches, up to a depth, all orders of admissions, message deliveries, losses and delays, clock ticks,
 * refunds and restarts for three hosts and two accounts. The approach follows Eychenne's verification of total-order
 * broadcast, where only exhaustive search found an ordering fault. The negative controls verify that this search
 * detects faults.
 */
class LedgerExplorationTest {

    private static final int DEPTH = 6;

    @Test
    void noOrderExceedsLimit() {
        Search search = new Search(LedgerSimulation.Variant.CORRECT);
        assertThat(search.run()).isEmpty();
        assertThat(search.exploredCount()).as("explored orders").isGreaterThan(100_000);
    }

    @Test
    void detectsLoanThatOutlivesLenderRecord() {
        assertThat(new Search(LedgerSimulation.Variant.LOAN_OUTLIVES_LENDER_RECORD).run())
                .isPresent();
    }

    @Test
    void detectsRestartWithoutQuarantine() {
        assertThat(new Search(LedgerSimulation.Variant.RESTART_WITHOUT_QUARANTINE).run())
                .isPresent();
    }

    /** Depth-first search that replays each order from the initial state. */
    private static final class Search {

        private final LedgerSimulation.Variant variant;
        private long exploredCount;

        Search(LedgerSimulation.Variant variant) {
            this.variant = variant;
        }

        /** Returns the first order that exceeds an account's limit, or empty if none does. */
        Optional<List<String>> run() {
            Deque<int[]> orders = new ArrayDeque<>();
            orders.push(new int[0]);
            while (!orders.isEmpty()) {
                int[] order = orders.pop();
                LedgerSimulation simulation = new LedgerSimulation(variant);
                List<String> names = replay(simulation, order);
                exploredCount++;
                if (simulation.exceedsLimit()) {
                    return Optional.of(names);
                }
                if (order.length < DEPTH) {
                    int choices = simulation.actions().size();
                    for (int next = 0; next < choices; next++) {
                        orders.push(append(order, next));
                    }
                }
            }
            return Optional.empty();
        }

        private static List<String> replay(LedgerSimulation simulation, int[] order) {
            List<String> names = new ArrayList<>();
            for (int choice : order) {
                LedgerSimulation.Action action = simulation.actions().get(choice);
                names.add(action.name());
                action.effect().run();
            }
            return names;
        }

        private static int[] append(int[] order, int next) {
            int[] longer = Arrays.copyOf(order, order.length + 1);
            longer[order.length] = next;
            return longer;
        }

        long exploredCount() {
            return exploredCount;
        }
    }
}
