package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * Keeps this host's record in the store as long as its process lives, so that other hosts find it.
 *
 * <p>Invariant: the record stands under a lease that only this process renews, so it ends soon after the process. Used
 * on one event loop only.
 */
public final class HostLease {

    private final AsyncStore store;
    private final ScheduledExecutorService loop;
    private final DecisionLog log;
    private final String key;
    private final byte[] record;
    private final Duration time;
    private long lease;
    private boolean ended;

    /**
     * Creates a lease that is not open; {@link #start} opens it.
     *
     * @param time how long the record outlives the last renewal
     */
    public HostLease(
            AsyncStore store,
            ScheduledExecutorService loop,
            DecisionLog log,
            String key,
            byte[] record,
            Duration time) {
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.key = key;
        this.record = record.clone();
        this.time = time;
    }

    /** Opens the lease and writes the record, and keeps both. */
    public void start() {
        if (ended) {
            return;
        }
        store.openLease(time)
                .thenCompose(opened -> {
                    lease = opened.id();
                    return store.commit(StoreTransaction.put(key, record, lease));
                })
                .whenComplete((revision, failure) -> {
                    if (failure == null) {
                        log.stateChange("host_lease_opened", "lease", lease, "revision", revision);
                        scheduleRenewal();
                    } else {
                        log.stateChange("host_lease_failed", "reason", String.valueOf(failure.getMessage()));
                        loop.schedule(this::start, pauseMillis(), TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** A third of the time, so that two renewals may be lost. */
    private long pauseMillis() {
        return time.toMillis() / 3;
    }

    private void scheduleRenewal() {
        loop.schedule(this::renew, pauseMillis(), TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (ended) {
            return;
        }
        store.renewLease(lease).whenComplete((renewed, failure) -> {
            if (failure != null && isGone(failure)) {
                log.stateChange("host_lease_lost", "lease", lease);
                start();
            } else {
                scheduleRenewal();
            }
        });
    }

    private static boolean isGone(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof AsyncStoreException known && known.reason() == AsyncStoreException.Reason.NO_LEASE;
    }

    /** Ends the lease and with it the record, so that other hosts drop this one at once. */
    public void end() {
        ended = true;
        store.endLease(lease).whenComplete((done, failure) -> {
            if (failure != null) {
                log.stateChange("host_lease_not_ended", "lease", lease, "reason", String.valueOf(failure.getMessage()));
            }
        });
    }
}
