package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * Keeps this host's record in the store while its process is alive, so that other hosts can discover it.
 *
 * <p>The same transaction writes further records that this host has to contribute, such as the {@link EraRecord}.
 *
 * <p>Invariant: the record is attached to a lease that only this process renews, so it expires soon after the process
 * ends. A restored store may grant the id of a lost lease again, to another host; therefore {@link #open} must be called
 * in each new era, and a lease is never revoked by its id. Not thread-safe: confined to one event loop.
 */
public final class HostLease {

    private final AsyncStore store;
    private final ScheduledExecutorService loop;
    private final DecisionLog log;
    private final String key;
    private final byte[] record;
    private final Duration ttl;
    private final Supplier<List<StoreTransaction.Put>> furtherRecords;
    private long generation;
    private long lease;
    private long recordRevision = KeyValueStore.ABSENT;
    private boolean ended;

    /**
     * Creates an instance without a lease; {@link #open} opens one.
     *
     * @param ttl time after the last renewal at which the record expires
     * @param furtherRecords returns the values to write together with the record
     */
    public HostLease(
            AsyncStore store,
            ScheduledExecutorService loop,
            DecisionLog log,
            String key,
            byte[] record,
            Duration ttl,
            Supplier<List<StoreTransaction.Put>> furtherRecords) {
        this.store = store;
        this.loop = loop;
        this.log = log;
        this.key = key;
        this.record = record.clone();
        this.ttl = ttl;
        this.furtherRecords = furtherRecords;
    }

    /** Opens a lease, writes the record and keeps renewing the lease. An earlier lease is abandoned. */
    public void open() {
        generation++;
        open(generation);
    }

    private void open(long expectedGeneration) {
        if (isSuperseded(expectedGeneration)) {
            return;
        }
        store.grantLease(ttl)
                .thenCompose(opened -> {
                    lease = opened.id();
                    List<StoreTransaction.Put> puts = new ArrayList<>(furtherRecords.get());
                    puts.add(new StoreTransaction.Put(key, record, lease));
                    return store.commit(new StoreTransaction(Map.of(), puts, List.of()));
                })
                .whenComplete((revision, failure) -> {
                    if (isSuperseded(expectedGeneration)) {
                        return;
                    }
                    if (failure == null) {
                        recordRevision = revision.number();
                        log.stateChange(
                                "host_lease_opened",
                                "lease",
                                lease,
                                "era",
                                revision.era(),
                                "revision",
                                revision.number());
                        scheduleRenewal(expectedGeneration);
                    } else {
                        log.stateChange("host_lease_failed", "reason", String.valueOf(failure.getMessage()));
                        loop.schedule(() -> open(expectedGeneration), renewalIntervalMillis(), TimeUnit.MILLISECONDS);
                    }
                });
    }

    private boolean isSuperseded(long expectedGeneration) {
        return ended || expectedGeneration != generation;
    }

    /** Returns a third of the time to live, so that two renewals in a row may be lost. */
    private long renewalIntervalMillis() {
        return ttl.toMillis() / 3;
    }

    private void scheduleRenewal(long expectedGeneration) {
        loop.schedule(() -> renew(expectedGeneration), renewalIntervalMillis(), TimeUnit.MILLISECONDS);
    }

    private void renew(long expectedGeneration) {
        if (isSuperseded(expectedGeneration)) {
            return;
        }
        store.renewLease(lease).whenComplete((renewed, failure) -> {
            if (isSuperseded(expectedGeneration)) {
                return;
            }
            if (failure != null && isLeaseLost(failure)) {
                log.stateChange("host_lease_lost", "lease", lease);
                open();
            } else {
                scheduleRenewal(expectedGeneration);
            }
        });
    }

    private static boolean isLeaseLost(Throwable failure) {
        return AsyncStoreException.reasonOf(failure) == AsyncStoreException.Reason.LEASE_EXPIRED;
    }

    /**
     * Deletes the record, so that other hosts remove this one immediately, and lets the lease expire. The deletion has
     * no effect if it is executed only after a later process of this host has written its own record.
     */
    public void end() {
        ended = true;
        if (recordRevision == KeyValueStore.ABSENT) {
            return;
        }
        StoreTransaction deletion = new StoreTransaction(Map.of(key, recordRevision), List.of(), List.of(key));
        store.commit(deletion).whenComplete((done, failure) -> {
            if (failure != null) {
                log.stateChange("host_record_not_deleted", "key", key, "reason", String.valueOf(failure.getMessage()));
            }
        });
    }
}
