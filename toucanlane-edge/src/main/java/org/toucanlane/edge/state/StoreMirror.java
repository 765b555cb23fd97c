package org.toucanlane.edge.state;

import com.google.common.base.Throwables;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * Mirrors the store's keys by an initial read followed by watches for changes.
 *
 * <p>A watch that returns confirms that the copy contains everything written before the watch was sent, so it also
 * renews the {@link FreshnessLease} of the copy. When the history that a watch needs has been compacted or exceeds a
 * response, all keys are read again and compared; a change that the copy already contains is not applied. While the store
 * is unreachable, the copy is left unchanged.
 *
 * <p>One host of a region watches the store; the others are followers. The leader's reported revision and freshness
 * renew the lease of a follower that has this revision; a follower that is behind fetches the changes with a short
 * watch. A follower whose lease grows too old also queries the store itself.
 *
 * <p>When the store begins a new era, having lost its last writes, the lease ends and all keys are read again. Values
 * that the restored store contains are reported, but keys that it lacks stay in the copy for the settling time of
 * {@link EraTracker}, since their writers may write them again. Until then reads do not renew the lease. A peer's status
 * from an earlier era is ignored; one from a later era begins that era here too.
 *
 * <p>Invariant: once started, there is always a call in progress or one that is scheduled, whatever the listener throws.
 * Not thread-safe: confined to one event loop.
 */
public final class StoreMirror {

    /** Delay after a failed call; short relative to the lease validity, long relative to the store's rate limits. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /**
     * Delay after changes in which further ones accumulate; small relative to the seconds in which they must take
     * effect.
     */
    private static final Duration BATCH_DELAY = Duration.ofMillis(120);

    /** Interval at which a follower checks the status reported by other hosts, which report it about as often. */
    private static final Duration FOLLOWER_POLL_INTERVAL = Duration.ofMillis(250);

    /** Wait time of a watch for changes that are known to exist; the shortest possible. */
    private static final Duration CATCH_UP_WAIT = Duration.ofMillis(1);

    /**
     * Age, in watch durations, at which a follower's lease is too old; the leader's own is up to two watch durations
     * old when it is renewed.
     */
    private static final int FOLLOWER_MAX_AGE_WATCHES = 3;

    /**
     * Time for which a recovery of the store is announced to others; entries that expired are registered again by then.
     */
    private static final Duration RECOVERY_ANNOUNCEMENT_TIME = Duration.ofSeconds(3);

    private final AsyncStore store;
    private final ScheduledExecutorService loop;
    private final FreshnessLease freshness;
    private final DecisionLog log;
    private final StoreListener listener;
    private final Duration watchTime;
    private final String eraKey;
    private final EraTracker eras = new EraTracker();
    private final Map<String, Known> knownItems = new HashMap<>();
    private StoreRevision revision = StoreRevision.NONE;
    private boolean eraRecorded;
    private boolean reachable;
    private boolean synced;
    private long generation;
    private boolean restarted;
    private long restartedAt;
    private boolean follower;
    private StoreRevision peerRevision = StoreRevision.NONE;
    private PeerChanges peers = PeerChanges.NONE;
    private final ChangeLog changeLog = new ChangeLog();
    private boolean recovered;
    private long recoveredAt;

    /**
     * Creates an empty mirror; {@link #start} begins the initial read.
     *
     * @param eraKey key of the {@link EraRecord}
     * @param watchTime how long a watch waits for a change, which bounds the age of the lease when the watch returns
     */
    public StoreMirror(
            AsyncStore store,
            ScheduledExecutorService loop,
            FreshnessLease freshness,
            DecisionLog log,
            StoreListener listener,
            String eraKey,
            Duration watchTime) {
        this.store = store;
        this.loop = loop;
        this.freshness = freshness;
        this.log = log;
        this.listener = listener;
        this.eraKey = eraKey;
        this.watchTime = watchTime;
        store.setEraListener(this::beginEra);
    }

    /** Starts reading and then watching the store, and abandons earlier calls. */
    public void start() {
        generation++;
        readAll(generation, freshness.monotonicNanos(), "", new HashSet<>(), Optional.empty());
    }

    /** Applies an era that was reported by the store or by another host. */
    private void beginEra(long era) {
        long previous = eras.era();
        if (!eras.advance(era, freshness.monotonicNanos())) {
            return;
        }
        eraRecorded = false;
        peerRevision = StoreRevision.NONE;
        loop.schedule(() -> endSettling(era), EraTracker.SETTLING_TIME.toMillis(), TimeUnit.MILLISECONDS);
        if (previous == StoreRevision.UNKNOWN_ERA) {
            return;
        }
        log.stateChange("store_era_changed", "era", era, "previous", previous, "revision", revision.number());
        freshness.end();
        listener.storeRestored();
        start();
    }

    /** Removes keys that were not written again, and queries the store for a proof that the copy is current. */
    private void endSettling(long era) {
        if (era != eras.era() || !synced || revision.era() != era) {
            return;
        }
        removeUnconfirmed();
        if (!freshness.isValid()) {
            generation++;
            watch(generation, CATCH_UP_WAIT);
        }
    }

    /** Removes the keys that were known in an earlier era and are missing in the current one. */
    private void removeUnconfirmed() {
        List<String> missing = knownItems.entrySet().stream()
                .filter(known -> known.getValue().revision().era() < eras.era())
                .map(Map.Entry::getKey)
                .toList();
        if (!missing.isEmpty()) {
            log.stateChange("store_keys_not_written_again", "era", eras.era(), "keys", missing.size());
        }
        missing.forEach(this::remove);
    }

    /**
     * Queries the store again immediately, for use after a clock jump shows that this process may have been suspended.
     * Has no effect within the retry delay after the previous effective call.
     */
    public void restart() {
        long now = freshness.monotonicNanos();
        if (restarted && now - restartedAt < RETRY_DELAY.toNanos()) {
            return;
        }
        restarted = true;
        restartedAt = now;
        generation++;
        if (synced) {
            watch(generation, Duration.ofMillis(1));
        } else {
            start();
        }
    }

    private void readAll(
            long expectedGeneration,
            long sentAt,
            String after,
            Set<String> seen,
            Optional<StoreRevision> firstRevision) {
        store.range("", after).whenComplete(ifCurrent(expectedGeneration, (page, failure) -> {
            if (failure != null) {
                markUnreachable(failure);
                retry(expectedGeneration, this::start);
                return;
            }
            if (page.revision().era() != eras.era()) {
                // Another host has reported a newer era than this response.
                retry(expectedGeneration, this::start);
                return;
            }
            applyPage(page, seen);
            StoreRevision from = firstRevision.orElse(page.revision());
            if (page.hasMore() && !page.items().isEmpty()) {
                String last = page.items().get(page.items().size() - 1).key();
                readAll(expectedGeneration, sentAt, last, seen, Optional.of(from));
            } else {
                synced(expectedGeneration, sentAt, seen, from);
            }
        }));
    }

    /**
     * Returns {@code handler} for the response to a call, which ignores responses to superseded calls. If it throws, all
     * keys are read again after a delay, since nothing else would send another call.
     */
    private <T> BiConsumer<T, Throwable> ifCurrent(long expectedGeneration, BiConsumer<T, Throwable> handler) {
        return (response, failure) -> {
            if (expectedGeneration != generation) {
                return;
            }
            try {
                handler.accept(response, failure);
            } catch (RuntimeException e) {
                log.stateChange("store_response_failed", "revision", revision.number(), "reason", String.valueOf(e));
                retry(generation, this::start);
            }
        };
    }

    private void applyPage(StorePage page, Set<String> seen) {
        page.items().forEach(item -> {
            seen.add(item.key());
            put(item);
        });
    }

    private void synced(long expectedGeneration, long sentAt, Set<String> seen, StoreRevision from) {
        markReachable();
        boolean settled = eras.isProof(freshness.monotonicNanos());
        Set<String> missing = new HashSet<>(knownItems.keySet());
        missing.removeAll(seen);
        missing.removeIf(key -> knownItems.get(key).revision().era() < from.era());
        missing.forEach(this::remove);
        revision = from;
        changeLog.restartAt(from);
        synced = true;
        if (settled) {
            removeUnconfirmed();
        }
        renewFreshness(sentAt);
        log.stateChange(
                "store_read", "keys", seen.size(), "era", from.era(), "revision", from.number(), "settled", settled);
        listener.synced();
        continueWatching(expectedGeneration);
    }

    /** Renews the lease for a read that was sent at {@code sentAt}, unless the current era is too young. */
    private void renewFreshness(long sentAt) {
        if (eras.isProof(sentAt)) {
            freshness.renew(sentAt);
        }
    }

    private void watch(long expectedGeneration, Duration wait) {
        long sentAt = freshness.monotonicNanos();
        store.watch("", revision.number(), wait).whenComplete(ifCurrent(expectedGeneration, (changes, failure) -> {
            if (failure == null && changes.revision().era() != eras.era()) {
                // Another host has reported a newer era than this response.
                retry(expectedGeneration, this::start);
            } else if (failure == null) {
                markReachable();
                apply(changes);
                renewFreshness(sentAt);
                watchAgain(expectedGeneration, changes.changes().isEmpty());
            } else if (AsyncStoreException.reasonOf(failure).endsWatching()) {
                log.stateChange(
                        "store_history_gone",
                        "era",
                        revision.era(),
                        "revision",
                        revision.number(),
                        "reason",
                        AsyncStoreException.reasonOf(failure).name());
                start();
            } else {
                markUnreachable(failure);
                retry(expectedGeneration, () -> continueWatching(expectedGeneration));
            }
        }));
    }

    /**
     * Starts the next watch; after changes with a delay that batches further ones, since each response costs a call.
     */
    private void watchAgain(long expectedGeneration, boolean immediately) {
        if (immediately) {
            continueWatching(expectedGeneration);
        } else {
            scheduleIfCurrent(expectedGeneration, BATCH_DELAY, () -> continueWatching(expectedGeneration));
        }
    }

    /** Watches the store, unless this host is a follower whose copy is up to date and whose lease is recent. */
    private void continueWatching(long expectedGeneration) {
        boolean behind = peerRevision.isAfter(revision);
        boolean fresh = freshness.isValid() && freshness.ageMillis() < FOLLOWER_MAX_AGE_WATCHES * watchTime.toMillis();
        boolean needsProof = !fresh && eras.isProof(freshness.monotonicNanos());
        if (!follower) {
            watch(expectedGeneration, watchTime);
        } else if (needsProof) {
            watch(expectedGeneration, CATCH_UP_WAIT);
        } else if (behind) {
            catchUp(expectedGeneration);
        } else {
            scheduleIfCurrent(expectedGeneration, FOLLOWER_POLL_INTERVAL, () -> continueWatching(expectedGeneration));
        }
    }

    /** Asks another host for the changes that this one lacks, and the store if that host can't tell them all. */
    private void catchUp(long expectedGeneration) {
        peers.since(revision)
                .orElseGet(() -> CompletableFuture.failedFuture(new IOException("no other host watches the store")))
                .whenComplete(ifCurrent(expectedGeneration, (changes, failure) -> {
                    if (failure == null && changes.revision().isLaterInEraOf(revision)) {
                        apply(changes);
                        watchAgain(expectedGeneration, false);
                    } else {
                        watch(expectedGeneration, CATCH_UP_WAIT);
                    }
                }));
    }

    /** Sets the other hosts that a follower asks for changes before it asks the store. */
    public void setPeers(PeerChanges source) {
        peers = source;
    }

    /** Returns the changes after {@code since} that this copy includes, or empty if some are no longer known. */
    public Optional<StoreChanges> changesSince(StoreRevision since) {
        return synced ? changeLog.since(since) : Optional.empty();
    }

    /** Sets whether this host is a follower, which relies on the status reported by other hosts of its region. */
    public void setFollower(boolean isFollower) {
        follower = isFollower;
    }

    /**
     * Applies the store status reported by another host.
     *
     * @param status status of the other host's copy
     * @param askedAt monotonic time before the other host determined its status
     */
    public void receivePeerStatus(StoreStatus status, long askedAt) {
        if (!synced || status.ageMillis() < 0) {
            return;
        }
        if (status.revision().era() < eras.era()) {
            return;
        }
        beginEra(status.revision().era());
        peerRevision = status.revision().isAfter(peerRevision) ? status.revision() : peerRevision;
        if (status.revision().era() == revision.era() && !status.revision().isAfter(revision)) {
            renewFreshness(askedAt - TimeUnit.MILLISECONDS.toNanos(status.ageMillis()));
        }
        if (status.recoveredMillis() >= 0) {
            listener.storeRecoveredElsewhere(
                    freshness.monotonicNanos() - TimeUnit.MILLISECONDS.toNanos(status.recoveredMillis()));
        }
    }

    /** Returns the status of this host's copy, which other hosts pass to {@link #receivePeerStatus}. */
    public StoreStatus status() {
        long age = freshness.isValid() ? freshness.ageMillis() : -1;
        long since = recovered ? TimeUnit.NANOSECONDS.toMillis(freshness.monotonicNanos() - recoveredAt) : -1;
        return new StoreStatus(revision, age, since <= RECOVERY_ANNOUNCEMENT_TIME.toMillis() ? since : -1);
    }

    private void apply(StoreChanges changes) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.revision() > revision.number()) {
                change.item().ifPresentOrElse(this::put, () -> applyRemoval(change));
            }
        }
        changeLog.append(changes);
        revision = changes.revision().isAfter(revision) ? changes.revision() : revision;
    }

    /** Removes a key, unless a read that the removal precedes has found it written again. */
    private void applyRemoval(StoreChanges.Change change) {
        Known known = knownItems.get(change.key());
        if (known == null || !known.revision().isAfter(new StoreRevision(eras.era(), change.revision()))) {
            remove(change.key());
        }
    }

    private void put(StoreItem item) {
        StoreRevision itemRevision = new StoreRevision(eras.era(), item.revision());
        Known known = knownItems.get(item.key());
        if (known != null && !itemRevision.isAfter(known.revision())) {
            return;
        }
        long fingerprint =
                Hashing.farmHashFingerprint64().hashBytes(item.value()).asLong();
        knownItems.put(item.key(), new Known(itemRevision, fingerprint));
        // A restored value that was known before the restoration is not a change.
        boolean restored = known != null && known.revision().era() < eras.era() && known.fingerprint() == fingerprint;
        if (!restored) {
            report(item.key(), Optional.of(item.value()));
        }
        if (item.key().equals(eraKey)) {
            applyEraRecord(item.value());
        }
    }

    private void applyEraRecord(byte[] value) {
        try {
            EraRecord eraRecord = EraRecord.decode(value);
            eraRecorded = eraRecord.era() == eras.era();
            eras.applyRecord(eraRecord, freshness.wallMillis(), freshness.monotonicNanos());
        } catch (IOException e) {
            log.stateChange("era_record_unreadable", "key", eraKey, "reason", String.valueOf(e.getMessage()));
        }
    }

    /** Returns the newest known era of the store. */
    public long era() {
        return eras.era();
    }

    /** Returns the record of the current era, if the store reports eras and does not contain the record yet. */
    public Optional<EraRecord> missingEraRecord() {
        return eras.era() == StoreRevision.UNKNOWN_ERA || eraRecorded
                ? Optional.empty()
                : Optional.of(new EraRecord(eras.era(), freshness.wallMillis()));
    }

    private void remove(String key) {
        if (knownItems.remove(key) != null) {
            report(key, Optional.empty());
        }
    }

    /** Reports a change. A value on which the listener fails must not keep other values from being applied. */
    private void report(String key, Optional<byte[]> value) {
        try {
            listener.changed(key, value);
        } catch (RuntimeException e) {
            log.stateChange("store_value_failed", "key", key, "reason", String.valueOf(e));
        }
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            recovered = synced;
            recoveredAt = freshness.monotonicNanos();
            log.stateChange("store_regained", "era", revision.era(), "revision", revision.number());
            listener.reachabilityChanged(true);
        }
    }

    private void markUnreachable(Throwable failure) {
        if (reachable || !synced) {
            log.stateChange(
                    "store_lost",
                    "reason",
                    String.valueOf(Throwables.getRootCause(failure)),
                    "proof_age_ms",
                    freshness.ageMillis());
        }
        if (reachable) {
            reachable = false;
            listener.reachabilityChanged(false);
        }
    }

    private void retry(long expectedGeneration, Runnable action) {
        scheduleIfCurrent(expectedGeneration, RETRY_DELAY, action);
    }

    private void scheduleIfCurrent(long expectedGeneration, Duration delay, Runnable action) {
        loop.schedule(
                () -> {
                    if (expectedGeneration == generation) {
                        action.run();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Newest revision of a key, and the fingerprint of its value there. */
    private record Known(StoreRevision revision, long fingerprint) {}
}
