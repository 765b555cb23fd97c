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
 * Every order of admissions, messages delivered, lost or late, time passing, give-backs and restarts, up to a depth, for
 * three hosts and two accounts. An idea of exhaustive search as in the verification of total-order broadcast by
 * Eychenne, where only it found an ordering fault; here, as there, the controls show that it can find one.
 */
class LedgerExplorationTest {

    private static final int DEPTH = 6;

    @Test
    void noOrderExceedsLimit() {
        Search search = new Search(LedgerSimulation.Variant.CORRECT);
        assertThat(search.run()).isEmpty();
        assertThat(search.visited()).as("orders tried").isGreaterThan(100_000);
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

    /** Depth-first search that replays each order from the beginning. */
    private static final class Search {

        private final LedgerSimulation.Variant variant;
        private long visited;

        Search(LedgerSimulation.Variant variant) {
            this.variant = variant;
        }

        /** Returns the first order that overspends. */
        Optional<List<String>> run() {
            Deque<int[]> orders = new ArrayDeque<>();
            orders.push(new int[0]);
            while (!orders.isEmpty()) {
                int[] order = orders.pop();
                LedgerSimulation world = new LedgerSimulation(variant);
                List<String> names = replay(world, order);
                visited++;
                if (world.exceedsLimit()) {
                    return Optional.of(names);
                }
                if (order.length < DEPTH) {
                    int choices = world.actions().size();
                    for (int next = 0; next < choices; next++) {
                        orders.push(append(order, next));
                    }
                }
            }
            return Optional.empty();
        }

        private static List<String> replay(LedgerSimulation world, int[] order) {
            List<String> names = new ArrayList<>();
            for (int choice : order) {
                LedgerSimulation.Action action = world.actions().get(choice);
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

        long visited() {
            return visited;
        }
    }
}
