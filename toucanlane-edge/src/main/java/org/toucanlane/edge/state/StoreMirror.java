package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * Mirrors the store's keys by an initial read followed by watches for changes.
 *
 * <p>A watch that returns confirms that the copy contains everything written before the watch was sent, so it also
 * renews the {@link FreshnessLease} of the copy. When the history that a watch needs has been compacted, all keys are
 * read again and compared. While the store is unreachable, the copy is left unchanged.
 *
 * <p>One host of a region watches the store; the others are followers. The leader's reported revision and freshness
 * renew the lease of a follower that has this revision; a follower that is behind fetches the changes with a short
 * watch. A follower whose lease grows too old also queries the store itself. Not thread-safe: confined to one event
 * loop.
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
    private final Listener listener;
    private final Duration watchTime;
    private final Map<String, Long> revisions = new HashMap<>();
    private long revision;
    private boolean reachable;
    private boolean synced;
    private long generation;
    private boolean restarted;
    private long restartedAt;
    private boolean follower;
    private long peerRevision;
    private boolean recovered;
    private long recoveredAt;

    /**
     * Creates an empty mirror; {@link #start} begins the initial read.
     *
     * @param watchTime how long a watch waits for a change, which bounds the age of the lease when the watch returns
     */
    public StoreMirror(
            AsyncStore store,
            ScheduledExecutorService loop,
            FreshnessLease freshness,
            DecisionLog log,
            Listener listener,
            Duration watchTime) {
        this.store = store;
        this.loop = loop;
        this.freshness = freshness;
        this.log = log;
        this.listener = listener;
        this.watchTime = watchTime;
    }

    /** Starts reading and then watching the store, and abandons earlier calls. */
    public void start() {
        generation++;
        readAll(generation, System.nanoTime(), "", new HashSet<>(), 0);
    }

    /**
     * Queries the store again immediately, for use after a clock jump shows that this process may have been suspended.
     * Has no effect within the retry delay after the previous effective call.
     */
    public void restart() {
        long now = System.nanoTime();
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

    private void readAll(long expectedGeneration, long sentAt, String after, Set<String> seen, long firstRevision) {
        store.range("", after).whenComplete((page, failure) -> {
            if (expectedGeneration != generation) {
                return;
            }
            if (failure != null) {
                markUnreachable(failure);
                retry(expectedGeneration, this::start);
                return;
            }
            applyPage(page, seen);
            long from = firstRevision == 0 ? page.revision() : firstRevision;
            if (page.hasMore() && !page.items().isEmpty()) {
                String last = page.items().get(page.items().size() - 1).key();
                readAll(expectedGeneration, sentAt, last, seen, from);
            } else {
                synced(expectedGeneration, sentAt, seen, from);
            }
        });
    }

    private void applyPage(StorePage page, Set<String> seen) {
        page.items().forEach(item -> {
            seen.add(item.key());
            put(item);
        });
    }

    private void synced(long expectedGeneration, long sentAt, Set<String> seen, long from) {
        markReachable();
        Set<String> removed = new HashSet<>(revisions.keySet());
        removed.removeAll(seen);
        removed.forEach(this::remove);
        revision = from;
        synced = true;
        freshness.renew(sentAt);
        log.stateChange("store_read", "keys", seen.size(), "revision", from);
        listener.synced();
        continueWatching(expectedGeneration);
    }

    private void watch(long expectedGeneration, Duration wait) {
        long sentAt = System.nanoTime();
        store.watch("", revision, wait).whenComplete((changes, failure) -> {
            if (expectedGeneration != generation) {
                return;
            }
            if (failure == null) {
                markReachable();
                apply(changes);
                freshness.renew(sentAt);
                watchAgain(expectedGeneration, changes.changes().isEmpty());
            } else if (reasonOf(failure) == AsyncStoreException.Reason.COMPACTED) {
                log.stateChange("store_history_gone", "revision", revision);
                start();
            } else {
                markUnreachable(failure);
                retry(expectedGeneration, () -> continueWatching(expectedGeneration));
            }
        });
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
        boolean behind = peerRevision > revision;
        boolean fresh = freshness.isValid() && freshness.ageMillis() < FOLLOWER_MAX_AGE_WATCHES * watchTime.toMillis();
        if (!follower) {
            watch(expectedGeneration, watchTime);
        } else if (behind || !fresh) {
            watch(expectedGeneration, CATCH_UP_WAIT);
        } else {
            scheduleIfCurrent(expectedGeneration, FOLLOWER_POLL_INTERVAL, () -> continueWatching(expectedGeneration));
        }
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
        peerRevision = Math.max(peerRevision, status.revision());
        if (status.revision() <= revision) {
            freshness.renew(askedAt - TimeUnit.MILLISECONDS.toNanos(status.ageMillis()));
        }
        if (status.recoveredMillis() >= 0) {
            listener.storeRecoveredElsewhere(
                    System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(status.recoveredMillis()));
        }
    }

    /** Returns the status of this host's copy, which other hosts pass to {@link #receivePeerStatus}. */
    public StoreStatus status() {
        long age = freshness.isValid() ? freshness.ageMillis() : -1;
        long since = recovered ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - recoveredAt) : -1;
        return new StoreStatus(revision, age, since <= RECOVERY_ANNOUNCEMENT_TIME.toMillis() ? since : -1);
    }

    private void apply(StoreChanges changes) {
        for (StoreChanges.Change change : changes.changes()) {
            if (change.revision() > revision) {
                change.item().ifPresentOrElse(this::put, () -> remove(change.key()));
            }
        }
        revision = Math.max(revision, changes.revision());
    }

    private void put(StoreItem item) {
        Long knownRevision = revisions.get(item.key());
        if (knownRevision == null || knownRevision < item.revision()) {
            revisions.put(item.key(), item.revision());
            listener.changed(item.key(), Optional.of(item.value()), item.revision());
        }
    }

    private void remove(String key) {
        if (revisions.remove(key) != null) {
            listener.changed(key, Optional.empty(), revision);
        }
    }

    private void markReachable() {
        if (!reachable) {
            reachable = true;
            recovered = synced;
            recoveredAt = System.nanoTime();
            log.stateChange("store_regained", "revision", revision);
            listener.reachabilityChanged(true);
        }
    }

    private void markUnreachable(Throwable failure) {
        if (reachable || !synced) {
            log.stateChange(
                    "store_lost", "reason", String.valueOf(unwrap(failure)), "proof_age_ms", freshness.ageMillis());
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

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    private static AsyncStoreException.Reason reasonOf(Throwable failure) {
        return unwrap(failure) instanceof AsyncStoreException known
                ? known.reason()
                : AsyncStoreException.Reason.UNAVAILABLE;
    }

    /** Receives changes of the copy. */
    public interface Listener {

        /** Called when a key has a new value, or with empty when it was removed. */
        void changed(String key, Optional<byte[]> value, long revision);

        /** Called when all keys have been read. */
        void synced();

        /** Called when the store becomes reachable or unreachable. */
        void reachabilityChanged(boolean nowReachable);

        /** Called when another host reports that the store became reachable for it at monotonic time {@code time}. */
        default void storeRecoveredElsewhere(long time) {}
    }
}
