package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A linearizable key-value service with transactions, leases and watches over ranges of keys, for callers that must
 * not block.
 *
 * <p>Each future fails with an {@link AsyncStoreException}, and completes on a thread of the implementation.
 * Implementations never retry a write on their own, and apply a timeout to each call.
 */
public interface AsyncStore {

    /** Returns one page of the keys that begin with {@code prefix}, in order, starting after {@code after}. */
    CompletableFuture<StorePage> range(String prefix, String after);

    /**
     * Returns the changes of keys that begin with {@code prefix} after {@code revision}, as soon as there is one, or
     * no changes after {@code wait}.
     */
    CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait);

    /** Executes {@code transaction} atomically and returns the revision of its changes. */
    CompletableFuture<Long> commit(StoreTransaction transaction);

    /** Grants a lease that expires unless it is renewed within {@code timeToLive}. */
    CompletableFuture<StoreLease> grantLease(Duration timeToLive);

    /** Renews a lease for its time to live. */
    CompletableFuture<StoreLease> renewLease(long lease);

    /** Revokes a lease and deletes the keys attached to it. */
    CompletableFuture<Void> revokeLease(long lease);
}
