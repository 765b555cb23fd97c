package org.toucanlane.edge.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.telemetry.DecisionLog;

class StoreMirrorTest {

    private static final String REJECTED_KEY = "rejected";

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ScriptedStore store = new ScriptedStore();
    private final Map<String, String> copy = new TreeMap<>();
    private long now = Duration.ofHours(1).toNanos();
    private final FreshnessLease freshness = new FreshnessLease(() -> now, this::wallMillis, Duration.ofSeconds(30));
    private int unreachableCount;
    private int syncCount;
    private boolean failOnSync;
    private StoreMirror mirror;

    @BeforeEach
    void start() {
        StoreListener listener = new StoreListener() {
            @Override
            public void changed(String key, Optional<byte[]> value) {
                if (key.equals(REJECTED_KEY)) {
                    throw new IllegalStateException("rejected");
                }
                value.ifPresentOrElse(
                        bytes -> copy.put(key, new String(bytes, StandardCharsets.UTF_8)), () -> copy.remove(key));
            }

            @Override
            public void synced() {
                syncCount++;
                if (failOnSync) {
                    throw new IllegalStateException("rejected");
                }
            }

            @Override
            public void reachabilityChanged(boolean nowReachable) {
                unreachableCount += nowReachable ? 0 : 1;
            }
        };
        mirror = new StoreMirror(
                store, channel.eventLoop(), freshness, new DecisionLog("test"), listener, "era", Duration.ofSeconds(1));
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

    /** A host sent the same watch again and again, and stayed behind: see docs/incidents/0015. */
    @Test
    void readsTheKeysIfTheChangesExceedTheSizeOfAResponse() {
        store.page(false, 5, item("a", "1", 3), item("b", "2", 5));
        store.fail(AsyncStoreException.Reason.RESPONSE_TOO_LARGE);
        assertThat(unreachableCount).isZero();
        store.page(true, 9, item("b", "3", 8));
        store.page(false, 12, item("c", "4", 11));
        assertThat(copy).isEqualTo(Map.of("b", "3", "c", "4"));
        assertThat(store.watchedFrom()).isEqualTo(9);
        store.changes(12, put("b", "old", 7), put("c", "older", 10), put("c", "4", 11), put("d", "5", 12));
        assertThat(copy).isEqualTo(Map.of("b", "3", "c", "4", "d", "5"));
    }

    @Test
    void readsTheKeysAfterADelayIfAPageExceedsTheSizeOfAResponse() {
        store.fail(AsyncStoreException.Reason.RESPONSE_TOO_LARGE);
        assertThat(store.pendingCalls()).as("calls during the retry delay").isZero();
        advance();
        store.page(false, 5, item("a", "1", 3));
        assertThat(copy).isEqualTo(Map.of("a", "1"));
    }

    /** The pages of a read that changes overtake show some of them already: see docs/incidents/0015. */
    @Test
    void ignoresARemovalThatPrecedesTheValueThatWasRead() {
        store.page(true, 5, item("a", "1", 3));
        store.page(false, 8, item("b", "2", 8));
        store.changes(6, removed("b", 6));
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2"));
        advance();
        store.changes(9, put("b", "2", 8), removed("b", 9));
        assertThat(copy).isEqualTo(Map.of("a", "1"));
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

    /** An entry that no reader expected ended all updates of a host: see docs/incidents/0005. */
    @Test
    void goesOnWatchingAfterAValueOnWhichTheListenerFails() {
        store.page(false, 5, item("a", "1", 3), item(REJECTED_KEY, "x", 4), item("s", "1", 5));
        assertThat(copy).isEqualTo(Map.of("a", "1", "s", "1"));
        store.changes(8, put("b", "2", 6), put(REJECTED_KEY, "y", 7), put("t", "3", 8));
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2", "s", "1", "t", "3"));
        advance();
        assertThat(store.watchedFrom()).isEqualTo(8);
        store.changes(9, removed(REJECTED_KEY, 9));
        advance();
        assertThat(store.watchedFrom()).isEqualTo(9);
        assertThat(freshness.isValid()).isTrue();
    }

    /** A failure while a response was handled ended all updates of a host: see docs/incidents/0005. */
    @Test
    void readsTheStoreAgainAfterAResponseWhoseHandlingFails() {
        failOnSync = true;
        store.page(false, 5, item("a", "1", 3));
        assertThat(store.pendingCalls()).as("calls during the retry delay").isZero();
        failOnSync = false;
        advance();
        store.page(false, 6, item("a", "1", 3), item("b", "2", 6));
        assertThat(syncCount).isEqualTo(2);
        assertThat(copy).isEqualTo(Map.of("a", "1", "b", "2"));
        assertThat(store.watchedFrom()).isEqualTo(6);
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
        mirror.receivePeerStatus(status(5, 10, -1), now);
        advance();
        assertThat(store.pendingCalls()).isZero();
        assertThat(mirror.status().revision().number()).isEqualTo(5);
    }

    @Test
    void fetchesARevisionThatOnlyAnotherHostHas() {
        mirror.setFollower(true);
        store.page(false, 5);
        mirror.receivePeerStatus(status(7, 10, -1), now);
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
        FreshnessLease lease = new FreshnessLease(() -> now, this::wallMillis, Duration.ofSeconds(3));
        StoreMirror other = new StoreMirror(
                store,
                channel.eventLoop(),
                lease,
                new DecisionLog("test"),
                NO_OP_LISTENER,
                "era",
                Duration.ofSeconds(1));
        store.page(false, 5);
        store.fail(AsyncStoreException.Reason.UNAVAILABLE);
        other.start();
        store.page(false, 5);
        now += Duration.ofSeconds(4).toNanos();
        other.receivePeerStatus(status(6, 0, -1), now);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(status(5, 3_500, -1), now);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(status(5, -1, -1), now);
        assertThat(lease.isValid()).isFalse();
        other.receivePeerStatus(status(5, 500, -1), now);
        assertThat(lease.ageMillis()).isEqualTo(500);
    }

    @Test
    void readsTheRestoredStoreAgainAlthoughItsRevisionsAreLower() {
        startInEra(3, 50, item("a", "1", 40), item("b", "2", 50));
        store.beginEra(4);
        assertThat(freshness.isValid()).isFalse();
        store.dropCalls(1);
        store.page(false, 21, item("a", "restored", 20), item("c", "3", 21));
        assertThat(copy).containsEntry("a", "restored").containsEntry("c", "3");
        assertThat(mirror.status().revision()).isEqualTo(new StoreRevision(4, 21));
        store.changes(22, put("a", "again", 22));
        assertThat(copy).containsEntry("a", "again");
    }

    @Test
    void keepsLostKeysForTheSettlingTimeAndThenRemovesThem() {
        startInEra(3, 50, item("a", "1", 40), item("b", "2", 50), item("c", "3", 30));
        store.beginEra(4);
        store.dropCalls(1);
        store.page(false, 21, item("a", "1", 20));
        assertThat(copy).containsOnlyKeys("a", "b", "c");
        store.changes(22, put("b", "2", 22));
        settle();
        assertThat(copy).containsOnlyKeys("a", "b");
    }

    @Test
    void isFreshInANewEraOnlyByAReadAfterTheSettlingTime() {
        startInEra(3, 50, item("a", "1", 40));
        store.beginEra(4);
        store.dropCalls(1);
        store.page(false, 21, item("a", "1", 20));
        mirror.receivePeerStatus(status(4, 21, 0, -1), now);
        assertThat(freshness.isValid()).as("before the settling time").isFalse();
        settle();
        store.dropCalls(1);
        store.changes(21);
        assertThat(freshness.isValid()).as("after the settling time").isTrue();
    }

    /** Guards against a proof that compares revisions of two eras: 50 of era 3 is not newer than 21 of era 4. */
    @Test
    void ignoresAPeerOfAnEarlierEraAndFollowsOneOfALaterEra() {
        startInEra(3, 50, item("a", "1", 40));
        mirror.receivePeerStatus(status(4, 21, 0, -1), now);
        assertThat(freshness.isValid()).isFalse();
        assertThat(mirror.era()).isEqualTo(4);
        store.dropCalls(1);
        store.page(false, 50, item("a", "old era", 50));
        assertThat(copy).containsEntry("a", "1");
        mirror.receivePeerStatus(status(3, 60, 0, -1), now);
        assertThat(freshness.isValid()).isFalse();
    }

    @Test
    void trustsAStoreAtOnceIfTheRecordShowsThatItsEraIsOld() {
        store.beginEra(3);
        long written = wallMillis() - 60_000;
        store.page(false, 50, new StoreItem("era", new EraRecord(3, written).encode(), 40, 0));
        assertThat(freshness.isValid()).isTrue();
        assertThat(mirror.missingEraRecord()).isEmpty();
    }

    @Test
    void doesNotTrustAStoreAtOnceWithoutARecordOfItsEra() {
        store.beginEra(4);
        long written = wallMillis() - 60_000;
        store.page(false, 50, new StoreItem("era", new EraRecord(3, written).encode(), 40, 0));
        assertThat(freshness.isValid()).isFalse();
        assertThat(mirror.missingEraRecord()).map(EraRecord::era).contains(4L);
    }

    @Test
    void makesNoCallsWhileAFollowerWaitsForTheSettlingTime() {
        mirror.setFollower(true);
        startInEra(3, 50);
        store.beginEra(4);
        store.page(false, 21);
        assertThat(store.pendingCalls()).isZero();
    }

    private long wallMillis() {
        return TimeUnit.NANOSECONDS.toMillis(now);
    }

    /** Starts the mirror in an era that has lasted for long. */
    private void startInEra(long era, long revision, StoreItem... items) {
        store.beginEra(era);
        StoreItem eraRecord = new StoreItem("era", new EraRecord(era, wallMillis() - 60_000).encode(), 1, 0);
        store.page(
                false,
                revision,
                Stream.concat(Stream.of(eraRecord), Stream.of(items)).toArray(StoreItem[]::new));
        copy.remove("era");
        assertThat(freshness.isValid()).isTrue();
    }

    /** Lets the settling time pass on all clocks. */
    private void settle() {
        now += EraTracker.SETTLING_TIME.toNanos();
        channel.advanceTimeBy(EraTracker.SETTLING_TIME.toMillis(), TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Returns a status in an unknown era, as of a store that reports none. */
    private static StoreStatus status(long revision, long ageMillis, long recoveredMillis) {
        return status(StoreRevision.UNKNOWN_ERA, revision, ageMillis, recoveredMillis);
    }

    private static StoreStatus status(long era, long revision, long ageMillis, long recoveredMillis) {
        return new StoreStatus(new StoreRevision(era, revision), ageMillis, recoveredMillis);
    }

    private void advance() {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }

    private static final StoreListener NO_OP_LISTENER = new StoreListener() {
        @Override
        public void changed(String key, Optional<byte[]> value) {
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

    static StoreItem item(String key, String value, long revision) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision, 0);
    }

    static StoreChanges.Change put(String key, String value, long revision) {
        return new StoreChanges.Change(key, revision, Optional.of(item(key, value, revision)));
    }

    static StoreChanges.Change removed(String key, long revision) {
        return new StoreChanges.Change(key, revision, Optional.empty());
    }
}
