package org.toucanlane.coordination.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.toucanlane.coordination.store.StoreException;

/**
 * Operations on one shard, committed in batches in their order of arrival.
 *
 * <p>Invariant: at most one batch is under way; what arrives meanwhile forms the next one. Thread-safe.
 */
final class ShardQueue {

    private static final int MAX_BATCH = 1000;

    private final Queue<Operation> pending = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unfinishedCount = new AtomicInteger();
    private final Executor executor;
    private final BatchCommitter committer;

    ShardQueue(Executor executor, BatchCommitter commit) {
        this.executor = executor;
        this.committer = commit;
    }

    /** Adds an operation; the future ends when its batch has been committed or has failed. */
    CompletableFuture<ClaimResult> submit(Mutation step) {
        Operation operation = new Operation(step, new CompletableFuture<>());
        pending.add(operation);
        if (unfinishedCount.getAndIncrement() == 0) {
            executor.execute(this::runBatches);
        }
        return operation.result();
    }

    private void runBatches() {
        int done;
        do {
            List<Operation> batch = nextBatch();
            try {
                committer.commit(batch);
            } catch (StoreException | RuntimeException e) {
                batch.forEach(operation -> operation.result().completeExceptionally(e));
            }
            done = batch.size();
        } while (unfinishedCount.addAndGet(-done) > 0);
    }

    private List<Operation> nextBatch() {
        List<Operation> batch = new ArrayList<>();
        Operation next = pending.poll();
        while (next != null) {
            batch.add(next);
            next = batch.size() < MAX_BATCH ? pending.poll() : null;
        }
        return batch;
    }

    /** One operation's effect on the shard; may be applied to several readings of it until one is written. */
    interface Mutation extends Function<ShardState, ClaimResult> {}

    /** Writes a batch and completes its results, or throws. */
    @FunctionalInterface
    interface BatchCommitter {
        void commit(List<Operation> batch) throws StoreException;
    }

    /** A step and where its result goes. */
    record Operation(Mutation mutation, CompletableFuture<ClaimResult> result) {}
}
