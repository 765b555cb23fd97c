package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * A linearizable key-value service with transactions, leases and watches over ranges of keys, for callers that may not
 * block.
 *
 * <p>Each future fails with an {@link AsyncStoreException}, and completes on the thread of the implementation.
 * Implementations never repeat a write by themselves, and bound the time of each call.
 */
public interface AsyncStore {

    /** Returns one page of the keys that begin with {@code prefix}, in order, starting behind {@code after}. */
    CompletableFuture<StorePage> range(String prefix, String after);

    /**
     * Returns the changes of keys that begin with {@code prefix} after {@code revision}, as soon as there is one, or
     * none after {@code wait}.
     */
    CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait);

    /** Carries out {@code transaction} as a whole, and returns the revision of its changes. */
    CompletableFuture<Long> commit(StoreTransaction transaction);

    /** Opens a lease that ends unless it is renewed within {@code time}. */
    CompletableFuture<StoreLease> grantLease(Duration time);

    /** Renews a lease. */
    CompletableFuture<StoreLease> renewLease(long lease);

    /** Ends a lease with its keys. */
    CompletableFuture<Void> revokeLease(long lease);
}
