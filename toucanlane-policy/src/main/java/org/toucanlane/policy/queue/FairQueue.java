package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A bounded queue that grants permits for the endpoints of one service fairly between client accounts, by virtual token
 * counters (Sheng et al., "Fairness in Serving Large Language Models", 2024).
 *
 * <p>An account's counter grows by the cost of each admitted request, divided by the account's weight; the waiting
 * account with the smallest counter is admitted next. The counter of an account that was idle is raised to the virtual
 * time, the largest counter from which a request has been admitted, so that an account gains no credit while idle.
 *
 * <p>Invariants: no permit is granted while the number of permits in use is at the limit; the number of waiting
 * requests is bounded per account and in total; a request that is expected to be admitted after its deadline is
 * rejected immediately. Thread-safe.
 */
public final class FairQueue {

    private static final double HOLD_TIME_SMOOTHING = 0.1;

    private final ReentrantLock lock = new ReentrantLock();
    private final int maxWaiting;
    private final int maxWaitingPerAccount;

    @GuardedBy("lock")
    private final Map<String, AccountQueue> accountQueues = new HashMap<>();

    @GuardedBy("lock")
    private int limit;

    @GuardedBy("lock")
    private int running;

    @GuardedBy("lock")
    private int waiting;

    @GuardedBy("lock")
    private double virtualTime;

    @GuardedBy("lock")
    private double meanHoldNanos;

    @GuardedBy("lock")
    private boolean closed;

    /**
     * Creates an empty queue.
     *
     * @param limit maximum number of permits in use
     * @param maxWaiting maximum number of waiting requests over all accounts
     * @param maxWaitingPerAccount maximum number of waiting requests of one account
     */
    public FairQueue(int limit, int maxWaiting, int maxWaitingPerAccount) {
        Preconditions.checkArgument(limit > 0, "limit must be positive: %s", limit);
        Preconditions.checkArgument(maxWaiting >= 0, "maxWaiting must not be negative: %s", maxWaiting);
        Preconditions.checkArgument(
                maxWaitingPerAccount >= 0, "maxWaitingPerAccount must not be negative: %s", maxWaitingPerAccount);
        this.limit = limit;
        this.maxWaiting = maxWaiting;
        this.maxWaitingPerAccount = maxWaitingPerAccount;
    }

    /**
     * Acquires a permit, waiting up to {@code timeout} for one to be granted.
     *
     * @param weight weight of the account, positive
     * @param cost expected cost of the request, in tokens, not negative
     * @param timeout maximum time to wait
     * @throws QueueRejectedException immediately if the request may not wait, or after {@code timeout}, or if the queue
     *     is closed
     * @throws InterruptedException if interrupted while waiting
     */
    public Permit acquire(String account, int weight, long cost, Duration timeout)
            throws QueueRejectedException, InterruptedException {
        Preconditions.checkArgument(weight > 0, "weight must be positive: %s", weight);
        Preconditions.checkArgument(cost >= 0, "cost must not be negative: %s", cost);
        lock.lockInterruptibly();
        try {
            AccountQueue queue = accountQueues.computeIfAbsent(account, name -> new AccountQueue());
            checkAdmissible(queue, timeout);
            Waiter waiter = new Waiter(lock.newCondition(), (double) cost / weight);
            enqueue(queue, waiter);
            admitWaiting();
            return awaitPermit(account, queue, waiter, timeout);
        } finally {
            lock.unlock();
        }
    }

    @GuardedBy("lock")
    private void checkAdmissible(AccountQueue queue, Duration timeout) throws QueueRejectedException {
        Duration expected = expectedWait(queue);
        if (closed) {
            throw new QueueRejectedException(QueueRejectedException.Reason.CLOSED, expected);
        }
        boolean mustWait = running >= limit;
        if (mustWait && (waiting >= maxWaiting || queue.waiters.size() >= maxWaitingPerAccount)) {
            throw new QueueRejectedException(QueueRejectedException.Reason.NO_ROOM, expected);
        }
        if (mustWait && expected.compareTo(timeout) > 0) {
            throw new QueueRejectedException(QueueRejectedException.Reason.DEADLINE, expected);
        }
    }

    @GuardedBy("lock")
    private void enqueue(AccountQueue queue, Waiter waiter) {
        if (queue.waiters.isEmpty()) {
            queue.counter = Math.max(queue.counter, virtualTime);
        }
        queue.waiters.add(waiter);
        waiting++;
    }

    @GuardedBy("lock")
    private Permit awaitPermit(String account, AccountQueue queue, Waiter waiter, Duration timeout)
            throws QueueRejectedException, InterruptedException {
        long nanos = timeout.toNanos();
        try {
            while (!waiter.admitted && nanos > 0 && !closed) {
                nanos = waiter.condition.awaitNanos(nanos);
            }
        } finally {
            if (!waiter.admitted) {
                queue.waiters.remove(waiter);
                waiting--;
                removeIfIdle(account, queue);
            }
        }
        if (!waiter.admitted) {
            throw new QueueRejectedException(
                    closed ? QueueRejectedException.Reason.CLOSED : QueueRejectedException.Reason.DEADLINE,
                    expectedWait(queue));
        }
        return new Permit(System.nanoTime());
    }

    @GuardedBy("lock")
    private void removeIfIdle(String account, AccountQueue queue) {
        if (queue.waiters.isEmpty() && queue.counter <= virtualTime) {
            accountQueues.remove(account);
        }
    }

    @GuardedBy("lock")
    private void admitWaiting() {
        while (running < limit && waiting > 0) {
            Optional<AccountQueue> next = accountQueues.values().stream()
                    .filter(queue -> !queue.waiters.isEmpty())
                    .min(Comparator.comparingDouble(queue -> queue.counter));
            admitNext(next.orElseThrow());
        }
    }

    @GuardedBy("lock")
    private void admitNext(AccountQueue queue) {
        Waiter waiter = queue.waiters.poll();
        virtualTime = Math.max(virtualTime, queue.counter);
        queue.counter += waiter.cost;
        waiter.admitted = true;
        waiting--;
        running++;
        waiter.condition.signal();
    }

    /** Changes the maximum number of permits in use; permits already granted remain valid. */
    public void setLimit(int newLimit) {
        Preconditions.checkArgument(newLimit > 0, "limit must be positive: %s", newLimit);
        lock.lock();
        try {
            limit = newLimit;
            admitWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** Rejects all waiting and all later requests. */
    public void close() {
        lock.lock();
        try {
            closed = true;
            accountQueues.values().stream()
                    .flatMap(queue -> queue.waiters.stream())
                    .forEach(waiter -> waiter.condition.signal());
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of permits in use. */
    public int running() {
        lock.lock();
        try {
            return running;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        lock.lock();
        try {
            return waiting;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the expected wait of a further request in {@code queue}, assuming that the accounts with waiting requests
     * are admitted in turn: each of n accounts gets every nth permit.
     */
    @GuardedBy("lock")
    private Duration expectedWait(AccountQueue queue) {
        long others = accountQueues.values().stream()
                .filter(other -> other != queue && !other.waiters.isEmpty())
                .count();
        long ahead = Math.min(waiting, queue.waiters.size() * (others + 1) + others);
        return Duration.ofNanos((long) (meanHoldNanos * (ahead + 1) / limit));
    }

    private void release(long acquiredAtNanos) {
        lock.lock();
        try {
            running--;
            double heldNanos = System.nanoTime() - acquiredAtNanos;
            meanHoldNanos =
                    meanHoldNanos == 0 ? heldNanos : meanHoldNanos + HOLD_TIME_SMOOTHING * (heldNanos - meanHoldNanos);
            accountQueues.values().removeIf(queue -> queue.waiters.isEmpty() && queue.counter <= virtualTime);
            admitWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** A permit to send one request. Closing it releases it; closing it again has no effect. Thread-safe. */
    public final class Permit implements AutoCloseable {

        private final long acquiredAtNanos;
        private final AtomicBoolean released = new AtomicBoolean();

        private Permit(long acquiredAtNanos) {
            this.acquiredAtNanos = acquiredAtNanos;
        }

        @Override
        public void close() {
            if (released.compareAndSet(false, true)) {
                release(acquiredAtNanos);
            }
        }
    }

    /** The waiting requests of one account and its virtual token counter. */
    private static final class AccountQueue {
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double counter;
    }

    /** A waiting request. */
    private static final class Waiter {
        private final Condition condition;
        private final double cost;
        private boolean admitted;

        Waiter(Condition condition, double cost) {
            this.condition = condition;
            this.cost = cost;
        }
    }
}
