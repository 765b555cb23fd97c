package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.toucanlane.edge.state.StoreMirrorTest.item;
import static org.toucanlane.edge.state.StoreMirrorTest.put;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
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
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.telemetry.DecisionLog;

/** A follower whose region has a host that watches the store. */
class PeerCatchUpTest {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ScriptedStore store = new ScriptedStore();
    private final Map<String, String> copy = new TreeMap<>();
    private final Deque<CompletableFuture<StoreChanges>> asked = new ArrayDeque<>();
    private long now = Duration.ofHours(1).toNanos();
    private final FreshnessLease freshness =
            new FreshnessLease(() -> now, () -> TimeUnit.NANOSECONDS.toMillis(now), Duration.ofSeconds(30));
    private StoreMirror mirror;

    @BeforeEach
    void start() {
        StoreListener listener = new StoreListener() {
            @Override
            public void changed(String key, Optional<byte[]> value) {
                value.ifPresentOrElse(
                        bytes -> copy.put(key, new String(bytes, StandardCharsets.UTF_8)), () -> copy.remove(key));
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
        mirror = new StoreMirror(
                store, channel.eventLoop(), freshness, new DecisionLog("test"), listener, "era", Duration.ofSeconds(1));
        mirror.setFollower(true);
        mirror.setPeers(revision -> {
            CompletableFuture<StoreChanges> answer = new CompletableFuture<>();
            asked.add(answer);
            return Optional.of(answer);
        });
        mirror.start();
        store.page(false, 5, item("a", "1", 3));
    }

    @Test
    void takesChangesFromTheHostThatWatchesTheStore() {
        fallBehind(7);
        assertThat(store.pendingCalls()).as("calls to the store").isZero();
        asked.remove().complete(changes(7, put("b", "2", 7)));
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2"));
        advance();
        assertThat(store.pendingCalls()).as("calls to the store").isZero();
        assertThat(mirror.changesSince(revision(5)).orElseThrow().changes()).hasSize(1);
    }

    @Test
    void asksTheStoreIfTheOtherHostFails() {
        fallBehind(7);
        asked.remove().completeExceptionally(new IOException("connection refused"));
        assertThat(store.watchedFrom()).isEqualTo(5);
        store.changes(7, put("b", "2", 7));
        assertThat(copy).containsEntry("b", "2");
    }

    @Test
    void asksTheStoreIfTheOtherHostKnowsNothingNewer() {
        fallBehind(7);
        asked.remove().complete(changes(5));
        assertThat(store.pendingCalls()).isOne();
        assertThat(store.watchedFrom()).isEqualTo(5);
    }

    @Test
    void ignoresChangesOfAnotherEra() {
        fallBehind(7);
        asked.remove().complete(new StoreChanges(List.of(put("b", "2", 7)), new StoreRevision(3, 7)));
        assertThat(copy).doesNotContainKey("b");
        assertThat(store.pendingCalls()).isOne();
    }

    @Test
    void asksTheStoreIfItsProofIsTooOld() {
        now += Duration.ofSeconds(20).toNanos();
        advance();
        assertThat(asked).isEmpty();
        assertThat(store.pendingCalls()).isOne();
    }

    /** An answer proves nothing about what the store holds by now. */
    @Test
    void doesNotTakeAnAnswerForAProof() {
        long before = freshness.ageMillis();
        now += Duration.ofSeconds(2).toNanos();
        fallBehind(7);
        asked.remove().complete(changes(7, put("b", "2", 7)));
        assertThat(freshness.ageMillis()).isEqualTo(before + 2_000);
    }

    private void fallBehind(long revision) {
        mirror.receivePeerStatus(new StoreStatus(revision(revision), 0, -1), now);
        advance();
        assertThat(asked).hasSize(1);
    }

    private void advance() {
        channel.advanceTimeBy(400, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private static StoreChanges changes(long revision, StoreChanges.Change... changes) {
        return new StoreChanges(List.of(changes), revision(revision));
    }

    private static StoreRevision revision(long number) {
        return new StoreRevision(StoreRevision.UNKNOWN_ERA, number);
    }
}
