package org.toucanlane.coordination.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;

/**
 * A linearizable key-value service with transactions, leases and watches over ranges of keys, for callers that must
 * not block.
 *
 * <p>Each future fails with an {@link AsyncStoreException}, and completes on a thread of the implementation.
 * Implementations never retry a write on their own, and apply a timeout to each call.
 *
 * <p>A store that was restored from an older copy has lost acknowledged writes and leases, and begins a new era; see
 * {@link StoreRevision}. Responses of an era that is known to have ended fail with {@code UNAVAILABLE}.
 */
public interface AsyncStore {

    /**
     * Sets the listener that is called with each new era, before the future of the response that reported it completes.
     * Error responses report eras too. The listener is not called if the store reports none.
     */
    void setEraListener(LongConsumer listener);

    /** Returns one page of the keys that begin with {@code prefix}, in order, starting after {@code after}. */
    CompletableFuture<StorePage> range(String prefix, String after);

    /**
     * Returns the changes of keys that begin with {@code prefix} after {@code revision}, as soon as there is one, or
     * no changes after {@code wait}.
     */
    CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait);

    /** Executes {@code transaction} atomically and returns the revision of its changes. */
    CompletableFuture<StoreRevision> commit(StoreTransaction transaction);

    /** Grants a lease that expires unless it is renewed within {@code timeToLive}. */
    CompletableFuture<StoreLease> grantLease(Duration timeToLive);

    /** Renews a lease for its time to live. */
    CompletableFuture<StoreLease> renewLease(long lease);
}
