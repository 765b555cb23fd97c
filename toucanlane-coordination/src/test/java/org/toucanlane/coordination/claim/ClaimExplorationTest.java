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
 * Three hosts claim one key, with two repeats; at each call of the store by one of them, any other one may act in
 * between, and the call or its answer may be lost. All such orders are tried.
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
        assertThat(orders).as("orders tried").isGreaterThan(1_000);
    }

    /** The control: hosts that read and then write without comparing are found out. */
    @Test
    void detectsClaimsWithoutCompareAndSwap() {
        ChoiceSequence choices = new ChoiceSequence(DEPTH);
        int worst = 0;
        do {
            worst = Math.max(worst, countGrants(choices, false));
        } while (worst <= 1 && choices.advance());
        assertThat(worst).isGreaterThan(1);
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
