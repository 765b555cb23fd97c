package org.toucanlane.coordination.claim;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.ChoiceSequence;
import org.toucanlane.coordination.store.FaultyStore;
import org.toucanlane.coordination.store.FaultyStore.Fault;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.UnconditionalStore;

/**
 * Explores all orders, up to a depth, in which three hosts claim one key; two of the claims are repeats. At each store
 * call of one host another host may run first, and a write may be lost, delayed or applied without a response.
 */
class ClaimExplorationTest {

    private static final int DEPTH = 16;
    private static final ByteString KEY = ClaimLog.keyOf("account", "key");
    private static final ByteString REQUEST = ByteString.copyFromUtf8("request");
    private static final Executor DIRECT = Runnable::run;

    @Test
    void atMostOneHostIsGrantedClaim() {
        ChoiceSequence choices = new ChoiceSequence(DEPTH);
        int orders = 0;
        do {
            assertThat(countGrants(choices, true))
                    .as("grants in order %s", choices)
                    .isLessThanOrEqualTo(1);
            orders++;
        } while (choices.advance());
        assertThat(orders).as("explored orders").isGreaterThan(1_000);
    }

    /** Negative control: without compare-and-swap more than one host is granted the claim. */
    @Test
    void detectsClaimsWithoutCompareAndSwap() {
        ChoiceSequence choices = new ChoiceSequence(DEPTH);
        int maxGrants = 0;
        do {
            maxGrants = Math.max(maxGrants, countGrants(choices, false));
        } while (maxGrants <= 1 && choices.advance());
        assertThat(maxGrants).isGreaterThan(1);
    }

    private static int countGrants(ChoiceSequence choices, boolean compares) {
        choices.rewind();
        FaultyStore memory = new FaultyStore();
        KeyValueStore store = compares ? memory : new UnconditionalStore(memory);
        List<ClaimLog> idle = new ArrayList<>();
        for (String host : List.of("h1", "h2", "h3")) {
            idle.add(new ClaimLog(store, host, 1, Duration.ofHours(1), DIRECT, () -> 0, round -> {}));
        }
        AtomicInteger granted = new AtomicInteger();
        memory.setScript(write -> {
            if (!idle.isEmpty() && choices.pick(2) == 1) {
                granted.addAndGet(claim(idle.remove(0)));
            }
            return write ? Fault.values()[choices.pick(4)] : Fault.NONE;
        });
        while (!idle.isEmpty()) {
            granted.addAndGet(claim(idle.remove(0)));
        }
        return granted.get();
    }

    private static int claim(ClaimLog log) {
        try {
            return log.claim(KEY, REQUEST).get() instanceof ClaimResult.Granted ? 1 : 0;
        } catch (ExecutionException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
