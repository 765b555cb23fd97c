package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StoreLease;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.edge.telemetry.DecisionLog;

class StoreMirrorTest {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ScriptedStore store = new ScriptedStore();
    private final Map<String, String> copy = new TreeMap<>();
    private final FreshnessLease freshness =
            new FreshnessLease(System::nanoTime, System::currentTimeMillis, Duration.ofSeconds(30));
    private int unreachableCount;
    private StoreMirror mirror;

    @BeforeEach
    void start() {
        StoreMirror.Listener listener = new StoreMirror.Listener() {
            @Override
            public void changed(String key, Optional<byte[]> value, long revision) {
                value.ifPresentOrElse(
                        bytes -> copy.put(key, new String(bytes, StandardCharsets.UTF_8)), () -> copy.remove(key));
            }

            @Override
            public void synced() {
                // Each change is delivered separately.
            }

            @Override
            public void reachabilityChanged(boolean nowReachable) {
                unreachableCount += nowReachable ? 0 : 1;
            }
        };
        mirror = new StoreMirror(
                store, channel.eventLoop(), freshness, new DecisionLog("test"), listener, Duration.ofSeconds(1));
        mirror.start();
    }

    @Test
    void readsAllPagesAndThenAppliesChanges() {
        store.page(true, 5, item("a", "1", 3));
        store.page(false, 6, item("b", "2", 5));
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2"));
        assertThat(store.watchedFrom()).isEqualTo(5);
        store.changes(7, put("c", "3", 6), removed("a", 7));
        assertThat(copy).isEqualTo(Map.of("b", "2", "c", "3"));
        assertThat(store.pendingCalls()).as("calls during the batch delay").isZero();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertThat(store.watchedFrom()).isEqualTo(7);
    }

    @Test
    void isFreshOnlyAfterAResponse() {
        assertThat(freshness.isValid()).isFalse();
        store.page(false, 5);
        assertThat(freshness.isValid()).isTrue();
    }

    @Test
    void ignoresChangesOlderThanItsCopy() {
        store.page(false, 5, item("a", "new", 5));
        store.changes(6, put("a", "old", 4));
        assertThat(copy).containsEntry("a", "new");
    }

    @Test
    void readsAgainAfterCompactionAndRemovesMissingKeys() {
        store.page(false, 5, item("a", "1", 3), item("b", "2", 5));
        store.fail(AsyncStoreException.Reason.COMPACTED);
        store.page(false, 9, item("b", "3", 8));
        assertThat(copy).isEqualTo(Map.of("b", "3"));
        assertThat(store.watchedFrom()).isEqualTo(9);
    }

    @Test
    void keepsItsCopyWhileTheStoreIsUnreachableAndRetries() {
        store.page(false, 5, item("a", "1", 3));
        store.fail(AsyncStoreException.Reason.UNAVAILABLE);
        assertThat(copy).containsEntry("a", "1");
        assertThat(unreachableCount).isEqualTo(1);
        assertThat(store.pendingCalls()).isZero();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertThat(store.watchedFrom()).isEqualTo(5);
    }

    @Test
    void ignoresTheResponseToASupersededCall() {
        store.page(false, 5);
        mirror.restart();
        store.changes(6, put("late", "x", 6));
        assertThat(copy).isEmpty();
        store.changes(6, put("a", "1", 6));
        assertThat(copy).containsEntry("a", "1");
    }

    @Test
    void doesNotWatchAsAFollowerWithARecentLease() {
        mirror.setFollower(true);
        store.page(false, 5);
        assertThat(store.pendingCalls()).isZero();
        mirror.receivePeerStatus(new StoreStatus(5, 10, -1), System.nanoTime());
        advance();
        assertThat(store.pendingCalls()).isZero();
        assertThat(mirror.status().revision()).isEqualTo(5);
    }

    @Test
    void fetchesARevisionThatOnlyAnotherHostHas() {
        mirror.setFollower(true);
        store.page(false, 5);
        mirror.receivePeerStatus(new StoreStatus(7, 10, -1), System.nanoTime());
        advance();
        assertThat(store.watchedFrom()).isEqualTo(5);
        store.changes(7, put("a", "1", 7));
        assertThat(copy).containsEntry("a", "1");
        advance();
        assertThat(store.pendingCalls()).isZero();
    }

    /**
     * Guards against a peer's status renewing the lease of a host whose copy lacks the peer's revision, and against
     * using a status whose age is unknown or exceeds the validity.
     */
    @Test
    void renewsItsLeaseFromAPeerOnlyForARevisionThatItHas() {
        long[] now = {System.nanoTime()};
        FreshnessLease lease = new FreshnessLease(() -> now[0], () -> now[0] / 1_000_000, Duration.ofSeconds(3));
        StoreMirror other = new StoreMirror(
                store, channel.eventLoop(), lease, new DecisionLog("test"), NO_OP_LISTENER, Duration.ofSeconds(1));
        store.page(false, 5);
        store.fail(AsyncStoreException.Reason.UNAVAILABLE);
        other.start();
        store.page(false, 5);
        now[0] += Duration.ofSeconds(4).toNanos();
        other.receivePeerStatus(new StoreStatus(6, 0, -1), now[0]);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(new StoreStatus(5, 3_500, -1), now[0]);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(new StoreStatus(5, -1, -1), now[0]);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(new StoreStatus(5, 500, -1), now[0]);
        assertThat(lease.ageMillis()).isEqualTo(500);
    }

    private void advance() {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }

    private static final StoreMirror.Listener NO_OP_LISTENER = new StoreMirror.Listener() {
        @Override
        public void changed(String key, Optional<byte[]> value, long revision) {
            // Ignored.
        }

        @Override
        public void synced() {
            // Ignored.
        }

        @Override
        public void reachabilityChanged(boolean nowReachable) {
            // Ignored.
        }
    };

    private static StoreItem item(String key, String value, long revision) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision, 0);
    }

    private static StoreChanges.Change put(String key, String value, long revision) {
        return new StoreChanges.Change(key, revision, Optional.of(item(key, value, revision)));
    }

    private static StoreChanges.Change removed(String key, long revision) {
        return new StoreChanges.Change(key, revision, Optional.empty());
    }

    /** A store whose pending calls are completed by the test in the order in which they were made. */
    private static final class ScriptedStore implements AsyncStore {

        private final Deque<CompletableFuture<?>> pendingCalls = new ArrayDeque<>();
        private long watched;

        void page(boolean more, long revision, StoreItem... items) {
            this.<StorePage>next().complete(new StorePage(List.of(items), more, revision));
        }

        void changes(long revision, StoreChanges.Change... changes) {
            this.<StoreChanges>next().complete(new StoreChanges(List.of(changes), revision));
        }

        void fail(AsyncStoreException.Reason reason) {
            next().completeExceptionally(new AsyncStoreException(reason, "scripted"));
        }

        @SuppressWarnings("unchecked")
        private <T> CompletableFuture<T> next() {
            return (CompletableFuture<T>) pendingCalls.removeFirst();
        }

        long watchedFrom() {
            return watched;
        }

        int pendingCalls() {
            return pendingCalls.size();
        }

        private <T> CompletableFuture<T> enqueue() {
            CompletableFuture<T> call = new CompletableFuture<>();
            pendingCalls.addLast(call);
            return call;
        }

        @Override
        public CompletableFuture<StorePage> range(String prefix, String after) {
            return enqueue();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait) {
            watched = revision;
            return enqueue();
        }

        @Override
        public CompletableFuture<Long> commit(StoreTransaction transaction) {
            return enqueue();
        }

        @Override
        public CompletableFuture<StoreLease> grantLease(Duration time) {
            return enqueue();
        }

        @Override
        public CompletableFuture<StoreLease> renewLease(long lease) {
            return enqueue();
        }

        @Override
        public CompletableFuture<Void> revokeLease(long lease) {
            return enqueue();
        }
    }
}
