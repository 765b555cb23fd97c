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
 * Keeps a copy of the store's keys by reading them once and then watching for changes.
 *
 * <p>A watch that returns proves that nothing older than its sending is missing, so it also renews the
 * {@link Freshness} of the copy. When the history that a watch needs is gone, everything is read anew and compared.
 * While the store is away, the copy stays as it is.
 *
 * <p>Most hosts of a region leave the watching to one of them: what that one tells of its revision and of the age of its
 * proof is a proof for them too, if they have that revision; otherwise they ask the store once. When the proof gets old
 * they watch themselves. Used on one event loop only.
 */
public final class StoreMirror {

    /** Pause after a failed call; short against the time that a proof lasts, long against the store's rates. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

    /** Pause after changes, in which others gather; small against the seconds in which they must be in force. */
    private static final Duration GATHER_TIME = Duration.ofMillis(120);

    /** How often a host that leaves the watching to others looks at what they have told; they tell it as often. */
    private static final Duration RELY_PAUSE = Duration.ofMillis(250);

    /** Wait of a watch for changes that are known to be there; the shortest. */
    private static final Duration CATCH_UP_WAIT = Duration.ofMillis(1);

    /** Age, in watches, at which the proof of others is too old: theirs is up to two watches old when they renew it. */
    private static final int RELIED_WATCHES = 3;

    /** Time for which others are told that the store has returned: entries that lapsed meanwhile are back by then. */
    private static final Duration RETURN_TOLD = Duration.ofSeconds(3);

    private final AsyncStore store;
    private final ScheduledExecutorService loop;
    private final Freshness freshness;
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
    private boolean relies;
    private long heardRevision;
    private boolean returned;
    private long returnedAt;

    /**
     * Creates a mirror that has read nothing; {@link #start} makes it begin.
     *
     * @param watchTime how long a watch waits for a change, which bounds the age of the proof that it brings
     */
    public StoreMirror(
            AsyncStore store,
            ScheduledExecutorService loop,
            Freshness freshness,
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

    /** Begins to read and to watch. */
    public void start() {
        generation++;
        readAll(generation, System.nanoTime(), "", new HashSet<>(), 0);
    }

    /**
     * Asks the store anew at once, after the clocks have shown that this process may have been suspended. Has no effect
     * shortly after it was called before.
     */
    public void restart() {
        long now = System.nanoTime();
        if (restarted && now - restartedAt < RETRY_PAUSE.toNanos()) {
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

    private void readAll(long round, long sentAt, String after, Set<String> seen, long firstRevision) {
        store.range("", after).whenComplete((page, failure) -> {
            if (round != generation) {
                return;
            }
            if (failure != null) {
                failed(failure);
                retry(round, this::start);
                return;
            }
            takePage(page, seen);
            long from = firstRevision == 0 ? page.revision() : firstRevision;
            if (page.hasMore() && !page.items().isEmpty()) {
                String last = page.items().get(page.items().size() - 1).key();
                readAll(round, sentAt, last, seen, from);
            } else {
                synced(round, sentAt, seen, from);
            }
        });
    }

    private void takePage(StorePage page, Set<String> seen) {
        page.items().forEach(item -> {
            seen.add(item.key());
            put(item);
        });
    }

    private void synced(long round, long sentAt, Set<String> seen, long from) {
        reached();
        Set<String> gone = new HashSet<>(revisions.keySet());
        gone.removeAll(seen);
        gone.forEach(this::remove);
        revision = from;
        synced = true;
        freshness.prove(sentAt);
        log.stateChange("store_read", "keys", seen.size(), "revision", from);
        listener.synced();
        next(round);
    }

    private void watch(long round, Duration wait) {
        long sentAt = System.nanoTime();
        store.watch("", revision, wait).whenComplete((changes, failure) -> {
            if (round != generation) {
                return;
            }
            if (failure == null) {
                reached();
                apply(changes);
                freshness.prove(sentAt);
                watchAgain(round, changes.changes().isEmpty());
            } else if (reasonOf(failure) == AsyncStoreException.Reason.COMPACTED) {
                log.stateChange("store_history_gone", "revision", revision);
                start();
            } else {
                failed(failure);
                retry(round, () -> next(round));
            }
        });
    }

    /** Watches on; after changes only when more may have come, since each answer costs a call whatever it brings. */
    private void watchAgain(long round, boolean atOnce) {
        if (atOnce) {
            next(round);
        } else {
            later(round, GATHER_TIME, () -> next(round));
        }
    }

    /** Watches, unless other hosts do it for this one and nothing new is known to have been written. */
    private void next(long round) {
        boolean behind = heardRevision > revision;
        boolean fresh = freshness.holds() && freshness.ageMillis() < RELIED_WATCHES * watchTime.toMillis();
        if (!relies) {
            watch(round, watchTime);
        } else if (behind || !fresh) {
            watch(round, CATCH_UP_WAIT);
        } else {
            later(round, RELY_PAUSE, () -> next(round));
        }
    }

    /** Sets whether this host leaves the watching to others of its region as long as they tell it what they know. */
    public void relyOnOthers(boolean rely) {
        relies = rely;
    }

    /**
     * Takes what another host says that it knows of the store.
     *
     * @param knowledge what it knows
     * @param askedAt a time, by the monotonic clock, that was before the other host's answer
     */
    public void heard(StoreKnowledge knowledge, long askedAt) {
        if (!synced || knowledge.ageMillis() < 0) {
            return;
        }
        heardRevision = Math.max(heardRevision, knowledge.revision());
        if (knowledge.revision() <= revision) {
            freshness.prove(askedAt - TimeUnit.MILLISECONDS.toNanos(knowledge.ageMillis()));
        }
        if (knowledge.returnedMillis() >= 0) {
            listener.returnedElsewhere(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(knowledge.returnedMillis()));
        }
    }

    /** Returns what this host knows of the store, for {@link #heard} of others. */
    public StoreKnowledge knowledge() {
        long age = freshness.holds() ? freshness.ageMillis() : -1;
        long since = returned ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - returnedAt) : -1;
        return new StoreKnowledge(revision, age, since <= RETURN_TOLD.toMillis() ? since : -1);
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
        Long known = revisions.get(item.key());
        if (known == null || known < item.revision()) {
            revisions.put(item.key(), item.revision());
            listener.changed(item.key(), Optional.of(item.value()), item.revision());
        }
    }

    private void remove(String key) {
        if (revisions.remove(key) != null) {
            listener.changed(key, Optional.empty(), revision);
        }
    }

    private void reached() {
        if (!reachable) {
            reachable = true;
            returned = synced;
            returnedAt = System.nanoTime();
            log.stateChange("store_regained", "revision", revision);
            listener.reachable(true);
        }
    }

    private void failed(Throwable failure) {
        if (reachable || !synced) {
            log.stateChange(
                    "store_lost", "reason", String.valueOf(unwrap(failure)), "proof_age_ms", freshness.ageMillis());
        }
        if (reachable) {
            reachable = false;
            listener.reachable(false);
        }
    }

    private void retry(long round, Runnable action) {
        later(round, RETRY_PAUSE, action);
    }

    private void later(long round, Duration pause, Runnable action) {
        loop.schedule(
                () -> {
                    if (round == generation) {
                        action.run();
                    }
                },
                pause.toMillis(),
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

    /** Hears of changes of the copy. */
    public interface Listener {

        /** A key has another value, or was removed. */
        void changed(String key, Optional<byte[]> value, long revision);

        /** Everything has been read. */
        void synced();

        /** The store can be reached again, or no longer. */
        void reachable(boolean nowReachable);

        /** Another host has told that it could reach the store again at {@code time}, by the monotonic clock. */
        default void returnedElsewhere(long time) {}
    }
}
