package org.toucanlane.coordination.claim;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.FaultyStore;
import org.toucanlane.coordination.store.FaultyStore.Fault;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.VersionedValue;

/**
 * Three hosts claim one key, with two repeats; at each call of the store by one of them, any other one may act in
 * between, and the call or its answer may be lost. All such orders are tried.
 */
class ClaimExplorationTest {

    private static final ByteString KEY = ClaimLog.keyOf("account", "key");
    private static final ByteString REQUEST = ByteString.copyFromUtf8("request");
    private static final Executor DIRECT = Runnable::run;

    @Test
    void atMostOneHostIsEverGrantedTheClaim() {
        Choices choices = new Choices();
        int orders = 0;
        do {
            assertThat(grants(choices, true)).as("grants in order %s", choices).isLessThanOrEqualTo(1);
            orders++;
        } while (choices.next());
        assertThat(orders).as("orders tried").isGreaterThan(1_000);
    }

    /** The control: hosts that read and then write without comparing are found out. */
    @Test
    void claimsWithoutCompareAndSwapAreFoundOut() {
        Choices choices = new Choices();
        int worst = 0;
        do {
            worst = Math.max(worst, grants(choices, false));
        } while (worst <= 1 && choices.next());
        assertThat(worst).isGreaterThan(1);
    }

    private static int grants(Choices choices, boolean compares) {
        choices.rewind();
        FaultyStore memory = new FaultyStore();
        KeyValueStore store = compares ? memory : new Overwriting(memory);
        List<ClaimLog> idle = new ArrayList<>();
        for (String host : List.of("h1", "h2", "h3")) {
            idle.add(new ClaimLog(store, host, 1, Duration.ofHours(1), DIRECT, () -> 0));
        }
        AtomicInteger granted = new AtomicInteger();
        memory.follow(write -> {
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

    /** A store whose swaps do not compare. */
    private record Overwriting(KeyValueStore store) implements KeyValueStore {

        @Override
        public Optional<VersionedValue> get(String key) throws StoreException {
            return store.get(key);
        }

        @Override
        public long compareAndSwap(String key, byte[] value, long expected)
                throws StoreException, StoreConflictException {
            try {
                return store.compareAndSwap(key, value, expected);
            } catch (StoreConflictException e) {
                return store.compareAndSwap(key, value, e.actualRevision());
            }
        }

        @Override
        public Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException {
            return store.watch(key, after, wait);
        }
    }

    /** All sequences of choices, one after another; beyond a depth every choice is the first. */
    private static final class Choices {

        private static final int DEPTH = 16;

        private final List<Integer> picked = new ArrayList<>();
        private final List<Integer> widths = new ArrayList<>();
        private int position;

        int pick(int width) {
            if (position == DEPTH) {
                return 0;
            }
            if (position == picked.size()) {
                picked.add(0);
                widths.add(width);
            }
            return picked.get(position++);
        }

        void rewind() {
            position = 0;
        }

        boolean next() {
            while (!picked.isEmpty()) {
                int last = picked.size() - 1;
                if (picked.get(last) + 1 < widths.get(last)) {
                    picked.set(last, picked.get(last) + 1);
                    return true;
                }
                picked.remove(last);
                widths.remove(last);
            }
            return false;
        }

        @Override
        public String toString() {
            return picked.toString();
        }
    }
}
