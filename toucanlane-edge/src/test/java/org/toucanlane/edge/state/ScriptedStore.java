package org.toucanlane.edge.state;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.AsyncStoreException;
import org.toucanlane.coordination.store.StoreChanges;
import org.toucanlane.coordination.store.StoreItem;
import org.toucanlane.coordination.store.StoreLease;
import org.toucanlane.coordination.store.StorePage;
import org.toucanlane.coordination.store.StoreRevision;
import org.toucanlane.coordination.store.StoreTransaction;

/** A store whose pending calls are completed by the test in the order in which they were made. */
final class ScriptedStore implements AsyncStore {

    private final Deque<CompletableFuture<?>> pendingCalls = new ArrayDeque<>();
    private long watched;
    private long era = StoreRevision.UNKNOWN_ERA;
    private LongConsumer eraListener;

    void page(boolean more, long revision, StoreItem... items) {
        this.<StorePage>next().complete(new StorePage(List.of(items), more, new StoreRevision(era, revision)));
    }

    void changes(long revision, StoreChanges.Change... changes) {
        this.<StoreChanges>next().complete(new StoreChanges(List.of(changes), new StoreRevision(era, revision)));
    }

    void fail(AsyncStoreException.Reason reason) {
        next().completeExceptionally(new AsyncStoreException(reason, "scripted"));
    }

    @SuppressWarnings("unchecked")
    private <T> CompletableFuture<T> next() {
        return (CompletableFuture<T>) pendingCalls.removeFirst();
    }

    /** Reports an era, as the next response does. */
    void beginEra(long next) {
        era = next;
        eraListener.accept(next);
    }

    @Override
    public void setEraListener(LongConsumer listener) {
        eraListener = listener;
    }

    long watchedFrom() {
        return watched;
    }

    /** Drops calls that the mirror has abandoned. */
    void dropCalls(int count) {
        for (int i = 0; i < count; i++) {
            pendingCalls.removeFirst();
        }
    }

    int pendingCalls() {
        return pendingCalls.size();
    }

    private <T> CompletableFuture<T> enqueue() {
        CompletableFuture<T> call = new CompletableFuture<>();
        pendingCalls.addLast(call);
        return call;
    }

    @Override
    public CompletableFuture<StorePage> range(String prefix, String after) {
        return enqueue();
    }

    @Override
    public CompletableFuture<StoreChanges> watch(String prefix, long revision, Duration wait) {
        watched = revision;
        return enqueue();
    }

    @Override
    public CompletableFuture<StoreRevision> commit(StoreTransaction transaction) {
        return enqueue();
    }

    @Override
    public CompletableFuture<StoreLease> grantLease(Duration time) {
        return enqueue();
    }

    @Override
    public CompletableFuture<StoreLease> renewLease(long lease) {
        return enqueue();
    }
}
