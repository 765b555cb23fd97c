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
    private int lost;
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
                // Each change has been told by itself.
            }

            @Override
            public void reachabilityChanged(boolean nowReachable) {
                lost += nowReachable ? 0 : 1;
            }
        };
        mirror = new StoreMirror(
                store, channel.eventLoop(), freshness, new DecisionLog("test"), listener, Duration.ofSeconds(1));
        mirror.start();
    }

    @Test
    void readsAllPagesAndThenFollows() {
        store.page(true, 5, item("a", "1", 3));
        store.page(false, 6, item("b", "2", 5));
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2"));
        assertThat(store.watchedFrom()).isEqualTo(5);
        store.changes(7, put("c", "3", 6), removed("a", 7));
        assertThat(copy).isEqualTo(Map.of("b", "2", "c", "3"));
        assertThat(store.waiting()).as("a pause in which changes gather").isZero();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertThat(store.watchedFrom()).isEqualTo(7);
    }

    @Test
    void isFreshOnlyAfterAnAnswer() {
        assertThat(freshness.isValid()).isFalse();
        store.page(false, 5);
        assertThat(freshness.isValid()).isTrue();
    }

    @Test
    void ignoresWhatIsOlderThanItsCopy() {
        store.page(false, 5, item("a", "new", 5));
        store.changes(6, put("a", "old", 4));
        assertThat(copy).containsEntry("a", "new");
    }

    @Test
    void readsAnewWhenTheHistoryIsGoneAndDropsWhatIsMissing() {
        store.page(false, 5, item("a", "1", 3), item("b", "2", 5));
        store.fail(AsyncStoreException.Reason.COMPACTED);
        store.page(false, 9, item("b", "3", 8));
        assertThat(copy).isEqualTo(Map.of("b", "3"));
        assertThat(store.watchedFrom()).isEqualTo(9);
    }

    @Test
    void keepsItsCopyWhileTheStoreIsAwayAndAsksAgain() {
        store.page(false, 5, item("a", "1", 3));
        store.fail(AsyncStoreException.Reason.UNAVAILABLE);
        assertThat(copy).containsEntry("a", "1");
        assertThat(lost).isEqualTo(1);
        assertThat(store.waiting()).isZero();
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertThat(store.watchedFrom()).isEqualTo(5);
    }

    @Test
    void takesNoAnswerOfAQuestionThatItHasReplaced() {
        store.page(false, 5);
        mirror.restart();
        store.changes(6, put("late", "x", 6));
        assertThat(copy).isEmpty();
        store.changes(6, put("a", "1", 6));
        assertThat(copy).containsEntry("a", "1");
    }

    @Test
    void leavesTheWatchToAnotherHostWhoseProofIsNew() {
        mirror.setFollower(true);
        store.page(false, 5);
        assertThat(store.waiting()).isZero();
        mirror.receivePeerStatus(new StoreStatus(5, 10, -1), System.nanoTime());
        advance();
        assertThat(store.waiting()).isZero();
        assertThat(mirror.status().revision()).isEqualTo(5);
    }

    @Test
    void asksTheStoreForWhatAnotherHostHasAndItHasNot() {
        mirror.setFollower(true);
        store.page(false, 5);
        mirror.receivePeerStatus(new StoreStatus(7, 10, -1), System.nanoTime());
        advance();
        assertThat(store.watchedFrom()).isEqualTo(5);
        store.changes(7, put("a", "1", 7));
        assertThat(copy).containsEntry("a", "1");
        advance();
        assertThat(store.waiting()).isZero();
    }

    /** What another host knows proves nothing for a host that lacks a revision of it, or from after the question. */
    @Test
    void takesTheProofOfAnotherHostOnlyForWhatItHas() {
        long[] now = {System.nanoTime()};
        FreshnessLease lease = new FreshnessLease(() -> now[0], () -> now[0] / 1_000_000, Duration.ofSeconds(3));
        StoreMirror other = new StoreMirror(
                store, channel.eventLoop(), lease, new DecisionLog("test"), NOBODY, Duration.ofSeconds(1));
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

    private static final StoreMirror.Listener NOBODY = new StoreMirror.Listener() {
        @Override
        public void changed(String key, Optional<byte[]> value, long revision) {
            // Not looked at.
        }

        @Override
        public void synced() {
            // Not looked at.
        }

        @Override
        public void reachabilityChanged(boolean nowReachable) {
            // Not looked at.
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

    /** Answers questions when the test says so, in the order in which they came. */
    private static final class ScriptedStore implements AsyncStore {

        private final Deque<CompletableFuture<?>> questions = new ArrayDeque<>();
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
            return (CompletableFuture<T>) questions.removeFirst();
        }

        long watchedFrom() {
            return watched;
        }

        int waiting() {
            return questions.size();
        }

        private <T> CompletableFuture<T> ask() {
            CompletableFuture<T> question = new CompletableFuture<>();
            questions.addLast(question);
            return question;
        }

        @Override
        public CompletableFuture<StorePage> range(String prefix, String after) {
            return ask();
        }

        @Override
        public CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait) {
            watched = revision;
            return ask();
        }

        @Override
        public CompletableFuture<Long> commit(StoreTransaction transaction) {
            return ask();
        }

        @Override
        public CompletableFuture<StoreLease> openLease(Duration time) {
            return ask();
        }

        @Override
        public CompletableFuture<StoreLease> renewLease(long lease) {
            return ask();
        }

        @Override
        public CompletableFuture<Void> endLease(long lease) {
            return ask();
        }
    }
}
