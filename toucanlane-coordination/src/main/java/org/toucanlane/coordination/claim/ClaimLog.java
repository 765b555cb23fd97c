package org.toucanlane.coordination.claim;

import com.google.common.base.Preconditions;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import org.toucanlane.coordination.claim.proto.ClaimRecord;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.VersionedValue;

/**
 * Claims on keyed actions, stored in a key-value service that all hosts share.
 *
 * <p>At most one attempt is {@link ClaimResult.Granted} for a key until the claim expires or its holder releases it: a
 * shard is written only by compare-and-swap on the revision that was read, so of two attempts that read the key as
 * free only one write succeeds. Claims that arrive during a write are batched into the next one. If the response to a
 * write is lost, the shard is read again and each attempt either finds its own token or is retried.
 *
 * <p>Thread-safe.
 */
public final class ClaimLog {

    private static final int MAX_ATTEMPTS = 16;

    private final KeyValueStore store;
    private final String owner;
    private final Duration retention;
    private final LongSupplier wallMillis;
    private final BackOff backOff;
    private final List<ShardQueue> shards;
    private final AtomicLong nextToken = new AtomicLong();

    /**
     * Creates a log.
     *
     * @param store the key-value service
     * @param owner identifier of this process, never used by another process, such as host and incarnation
     * @param shardCount number of shards, identical on every host
     * @param retention how long a claim is retained
     * @param executor executes the writes; a shard uses one thread at a time
     * @param wallMillis wall clock in milliseconds since the epoch
     * @param backOff delay after a failed write; claims that arrive during the delay are batched into a later write
     */
    public ClaimLog(
            KeyValueStore store,
            String owner,
            int shardCount,
            Duration retention,
            Executor executor,
            LongSupplier wallMillis,
            BackOff backOff) {
        Preconditions.checkArgument(shardCount > 0, "shardCount must be positive: %s", shardCount);
        Preconditions.checkArgument(
                !retention.isNegative() && !retention.isZero(), "retention must be positive: %s", retention);
        this.store = Preconditions.checkNotNull(store, "store");
        this.owner = Preconditions.checkNotNull(owner, "owner");
        this.retention = retention;
        this.wallMillis = Preconditions.checkNotNull(wallMillis, "wallMillis");
        this.backOff = Preconditions.checkNotNull(backOff, "backOff");
        this.shards = IntStream.range(0, shardCount)
                .mapToObj(index -> new ShardQueue(executor, batch -> commit("claims/" + index, batch)))
                .toList();
    }

    /** Returns the digest that identifies a caller's key within an account. */
    public static ByteString keyOf(String account, String callerKey) {
        byte[] digest = Hashing.sha256()
                .newHasher()
                .putInt(account.length())
                .putString(account, StandardCharsets.UTF_8)
                .putString(callerKey, StandardCharsets.UTF_8)
                .hash()
                .asBytes();
        return ByteString.copyFrom(digest);
    }

    /**
     * Tries to claim {@code key} for a request with digest {@code requestDigest}.
     *
     * <p>The future fails with a {@link StoreException} if the service does not respond. The claim may have been
     * written nevertheless, in which case later attempts find it held.
     */
    public CompletableFuture<ClaimResult> claim(ByteString key, ByteString requestDigest) {
        ClaimRecord request = ClaimRecord.newBuilder()
                .setKey(key)
                .setRequestDigest(requestDigest)
                .setToken(owner + '/' + nextToken.incrementAndGet())
                .setOwner(owner)
                .setExpiresAtMillis(wallMillis.getAsLong() + retention.toMillis())
                .build();
        return submit(key, state -> state.claim(request));
    }

    /** Stores {@code answer} for repeats of the action executed under {@code claim}. */
    public CompletableFuture<ClaimResult> finish(Claim claim, byte[] answer) {
        ByteString stored = ByteString.copyFrom(answer);
        return submit(claim.key(), state -> {
            state.finish(claim, stored);
            return new ClaimResult.Finished(answer);
        });
    }

    /** Releases {@code claim} so that a repeat may run. Call this only if the action certainly did not run. */
    public CompletableFuture<ClaimResult> release(Claim claim) {
        return submit(claim.key(), state -> {
            state.release(claim);
            return new ClaimResult.Granted(claim);
        });
    }

    private CompletableFuture<ClaimResult> submit(ByteString key, ShardQueue.Mutation mutation) {
        int index = Math.floorMod(key.hashCode(), shards.size());
        return shards.get(index).submit(mutation);
    }

    private void commit(String storeKey, List<ShardQueue.Operation> batch) throws StoreException {
        StoreException lastFailure = null;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ShardState state = read(storeKey);
            List<ClaimResult> results = batch.stream()
                    .map(operation -> operation.mutation().apply(state))
                    .toList();
            try {
                if (state.isChanged()) {
                    store.compareAndSwap(storeKey, state.encode(), state.revision());
                }
                complete(batch, results);
                return;
            } catch (StoreConflictException e) {
                lastFailure = StoreException.withoutEffect(e.getMessage(), e);
            } catch (StoreException e) {
                if (!e.mayHaveTakenEffect() && !e.isRateLimited()) {
                    throw e;
                }
                lastFailure = e;
            }
            backOff.pause(attempt);
        }
        throw lastFailure;
    }

    private static void complete(List<ShardQueue.Operation> batch, List<ClaimResult> results) {
        IntStream.range(0, batch.size()).forEach(i -> batch.get(i).result().complete(results.get(i)));
    }

    private ShardState read(String storeKey) throws StoreException {
        Optional<VersionedValue> stored = store.get(storeKey);
        if (stored.isEmpty()) {
            return ShardState.empty();
        }
        try {
            return ShardState.decode(stored.get().revision(), stored.get().value(), wallMillis.getAsLong());
        } catch (InvalidProtocolBufferException e) {
            throw StoreException.withoutEffect("cannot decode the claims at key " + storeKey, e);
        }
    }
}
