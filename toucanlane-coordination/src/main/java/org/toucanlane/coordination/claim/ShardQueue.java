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
 * A queue of operations on one shard, committed in batches in order of arrival.
 *
 * <p>Invariant: at most one batch is in progress; operations that arrive during a commit form the next batch.
 * Thread-safe.
 */
final class ShardQueue {

    private static final int MAX_BATCH = 1000;

    private final Queue<Operation> pending = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unfinishedCount = new AtomicInteger();
    private final Executor executor;
    private final BatchCommitter committer;

    ShardQueue(Executor executor, BatchCommitter committer) {
        this.executor = executor;
        this.committer = committer;
    }

    /** Adds an operation. The future completes when its batch has been committed or has failed. */
    CompletableFuture<ClaimResult> submit(Mutation mutation) {
        Operation operation = new Operation(mutation, new CompletableFuture<>());
        pending.add(operation);
        if (unfinishedCount.getAndIncrement() == 0) {
            executor.execute(this::runBatches);
        }
        return operation.result();
    }

    private void runBatches() {
        int completed;
        do {
            List<Operation> batch = nextBatch();
            try {
                committer.commit(batch);
            } catch (StoreException | RuntimeException e) {
                batch.forEach(operation -> operation.result().completeExceptionally(e));
            }
            completed = batch.size();
        } while (unfinishedCount.addAndGet(-completed) > 0);
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

    /** One operation's effect on a shard. May be applied to several revisions of the shard until a write succeeds. */
    interface Mutation extends Function<ShardState, ClaimResult> {}

    /** Commits a batch and completes its results, or throws. */
    @FunctionalInterface
    interface BatchCommitter {
        void commit(List<Operation> batch) throws StoreException;
    }

    /** A mutation and the future for its result. */
    record Operation(Mutation mutation, CompletableFuture<ClaimResult> result) {}
}
