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
 * Keeps this host's record in the store while its process is alive, so that other hosts can discover it.
 *
 * <p>Invariant: the record is attached to a lease that only this process renews, so it expires soon after the process
 * ends. Not thread-safe: confined to one event loop.
 */
public final class HostLease {

    private final AsyncStore store;
    private final ScheduledExecutorService loop;
    private final DecisionLog log;
    private final String key;
    private final byte[] record;
    private final Duration ttl;
    private long lease;
    private boolean ended;

    /**
     * Creates an instance without a lease; {@link #start} opens one.
     *
     * @param ttl time after the last renewal at which the record expires
     */
    public HostLease(
            AsyncStore store, ScheduledExecutorService loop, DecisionLog log, String key, byte[] record, Duration ttl) {
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.key = key;
        this.record = record.clone();
        this.ttl = ttl;
    }

    /** Opens the lease, writes the record and keeps renewing the lease. */
    public void start() {
        if (ended) {
            return;
        }
        store.grantLease(ttl)
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
                        loop.schedule(this::start, renewalIntervalMillis(), TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Returns a third of the time to live, so that two renewals in a row may be lost. */
    private long renewalIntervalMillis() {
        return ttl.toMillis() / 3;
    }

    private void scheduleRenewal() {
        loop.schedule(this::renew, renewalIntervalMillis(), TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (ended) {
            return;
        }
        store.renewLease(lease).whenComplete((renewed, failure) -> {
            if (failure != null && isLeaseLost(failure)) {
                log.stateChange("host_lease_lost", "lease", lease);
                start();
            } else {
                scheduleRenewal();
            }
        });
    }

    private static boolean isLeaseLost(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof AsyncStoreException known && known.reason() == AsyncStoreException.Reason.LEASE_EXPIRED;
    }

    /** Revokes the lease, which deletes the record, so that other hosts remove this one immediately. */
    public void end() {
        ended = true;
        store.revokeLease(lease).whenComplete((done, failure) -> {
            if (failure != null) {
                log.stateChange("host_lease_not_ended", "lease", lease, "reason", String.valueOf(failure.getMessage()));
            }
        });
    }
}
