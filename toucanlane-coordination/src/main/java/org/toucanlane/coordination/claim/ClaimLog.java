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
 * Claims on keyed actions, kept in a key-value service and shared by all hosts.
 *
 * <p>At most one attempt is ever {@link ClaimResult.Granted} for a key until the claim expires or its holder releases
 * it: a shard changes only by compare-and-swap on the revision that was read, so of two attempts that saw the key free
 * only one write stands. Claims that arrive while a write is under way share the next one. When a write's answer is
 * lost, the shard is read back and each attempt finds its own token or tries again.
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
     * @param store the service
     * @param owner this process, unique over all processes that ever were, such as host and incarnation
     * @param shardCount number of shards, the same on every host
     * @param keep how long a claim is kept
     * @param executor runs the writes; a shard uses one thread at a time
     * @param wallMillis wall clock in milliseconds since the epoch
     * @param backOff pauses after a write that did not stand; claims gather meanwhile and share the next write
     */
    public ClaimLog(
            KeyValueStore store,
            String owner,
            int shardCount,
            Duration keep,
            Executor executor,
            LongSupplier wallMillis,
            BackOff backOff) {
        Preconditions.checkArgument(shardCount > 0, "shardCount must be positive: %s", shardCount);
        Preconditions.checkArgument(!keep.isNegative() && !keep.isZero(), "keep must be positive: %s", keep);
        this.store = Preconditions.checkNotNull(store, "store");
        this.owner = Preconditions.checkNotNull(owner, "owner");
        this.retention = keep;
        this.wallMillis = Preconditions.checkNotNull(wallMillis, "wallMillis");
        this.backOff = Preconditions.checkNotNull(backOff, "backOff");
        this.shards = IntStream.range(0, shardCount)
                .mapToObj(index -> new ShardQueue(executor, batch -> commit("claims/" + index, batch)))
                .toList();
    }

    /** Returns the digest under which an account's key is claimed. */
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
     * <p>The future fails with a {@link StoreException} if the service did not answer; the claim may then have been
     * written, so that later attempts find it held.
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

    /** Keeps {@code answer} for repeats of the action that {@code claim} allowed. */
    public CompletableFuture<ClaimResult> finish(Claim claim, byte[] answer) {
        ByteString kept = ByteString.copyFrom(answer);
        return submit(claim.key(), state -> {
            state.finish(claim, kept);
            return new ClaimResult.Finished(answer);
        });
    }

    /** Gives up {@code claim}, so that a repeat may run. Only for an action that certainly did not run. */
    public CompletableFuture<ClaimResult> release(Claim claim) {
        return submit(claim.key(), state -> {
            state.release(claim);
            return new ClaimResult.Granted(claim);
        });
    }

    private CompletableFuture<ClaimResult> submit(ByteString key, ShardQueue.Mutation step) {
        int index = Math.floorMod(key.hashCode(), shards.size());
        return shards.get(index).submit(step);
    }

    private void commit(String storeKey, List<ShardQueue.Operation> batch) throws StoreException {
        StoreException last = null;
        for (int round = 0; round < MAX_ATTEMPTS; round++) {
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
                last = StoreException.withoutEffect(e.getMessage(), e);
            } catch (StoreException e) {
                if (!e.mayHaveTakenEffect() && !e.isRateLimited()) {
                    throw e;
                }
                last = e;
            }
            backOff.pause(round);
        }
        throw last;
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
            throw StoreException.withoutEffect("unreadable claims under " + storeKey, e);
        }
    }
}
