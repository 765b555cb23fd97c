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
 * Places at the endpoints of one service, given out by virtual token counters (Sheng et al., "Fairness in Serving Large
 * Language Models", 2024).
 *
 * <p>An account's counter grows by the cost of each request that gets a place, divided by the account's weight; the
 * waiting account with the smallest counter is next. An account that was idle starts from the smallest counter of those
 * that wait, so that idleness earns nothing.
 *
 * <p>Invariants: no more places are out than the limit allowed when they were given; waiting requests are bounded per
 * account and in all; a request whose turn is expected after its deadline is refused at once. Thread-safe.
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
     * @param limit places that may be out at the same time
     * @param maxWaiting requests that may wait in all
     * @param maxWaitingPerAccount requests of one account that may wait
     */
    public FairQueue(int limit, int maxWaiting, int maxWaitingPerAccount) {
        Preconditions.checkArgument(limit > 0, "limit must be positive: %s", limit);
        Preconditions.checkArgument(maxWaiting >= 0, "maxWaiting must not be negative: %s", maxWaiting);
        Preconditions.checkArgument(maxWaitingPerAccount >= 0, "maxWaitingPerAccount: %s", maxWaitingPerAccount);
        this.limit = limit;
        this.maxWaiting = maxWaiting;
        this.maxWaitingPerAccount = maxWaitingPerAccount;
    }

    /**
     * Waits for a place.
     *
     * @param weight the account's weight, positive
     * @param cost expected cost of the request, in tokens, not negative
     * @param patience longest wait
     * @throws QueueRejectedException at once if the request may not wait, or after {@code patience}
     * @throws InterruptedException if interrupted while waiting
     */
    public Permit acquire(String account, int weight, long cost, Duration patience)
            throws QueueRejectedException, InterruptedException {
        Preconditions.checkArgument(weight > 0, "weight must be positive: %s", weight);
        Preconditions.checkArgument(cost >= 0, "cost must not be negative: %s", cost);
        lock.lockInterruptibly();
        try {
            AccountQueue line = accountQueues.computeIfAbsent(account, name -> new AccountQueue());
            checkAdmissible(line, patience);
            Waiter waiter = new Waiter(lock.newCondition(), (double) cost / weight);
            enqueue(line, waiter);
            admitWaiting();
            return awaitPermit(account, line, waiter, patience);
        } finally {
            lock.unlock();
        }
    }

    @GuardedBy("lock")
    private void checkAdmissible(AccountQueue line, Duration patience) throws QueueRejectedException {
        Duration expected = expectedWait(line);
        if (closed) {
            throw new QueueRejectedException(QueueRejectedException.Reason.CLOSED, expected);
        }
        boolean mustWait = running >= limit;
        if (mustWait && (waiting >= maxWaiting || line.waiters.size() >= maxWaitingPerAccount)) {
            throw new QueueRejectedException(QueueRejectedException.Reason.NO_ROOM, expected);
        }
        if (mustWait && expected.compareTo(patience) > 0) {
            throw new QueueRejectedException(QueueRejectedException.Reason.DEADLINE, expected);
        }
    }

    @GuardedBy("lock")
    private void enqueue(AccountQueue line, Waiter waiter) {
        if (line.waiters.isEmpty()) {
            line.counter = Math.max(line.counter, virtualTime);
        }
        line.waiters.add(waiter);
        waiting++;
    }

    @GuardedBy("lock")
    private Permit awaitPermit(String account, AccountQueue line, Waiter waiter, Duration patience)
            throws QueueRejectedException, InterruptedException {
        long nanos = patience.toNanos();
        try {
            while (!waiter.admitted && nanos > 0 && !closed) {
                nanos = waiter.condition.awaitNanos(nanos);
            }
        } finally {
            if (!waiter.admitted) {
                line.waiters.remove(waiter);
                waiting--;
                removeIfIdle(account, line);
            }
        }
        if (!waiter.admitted) {
            throw new QueueRejectedException(
                    closed ? QueueRejectedException.Reason.CLOSED : QueueRejectedException.Reason.DEADLINE,
                    expectedWait(line));
        }
        return new Permit(System.nanoTime());
    }

    @GuardedBy("lock")
    private void removeIfIdle(String account, AccountQueue line) {
        if (line.waiters.isEmpty() && line.counter <= virtualTime) {
            accountQueues.remove(account);
        }
    }

    @GuardedBy("lock")
    private void admitWaiting() {
        while (running < limit && waiting > 0) {
            Optional<AccountQueue> next = accountQueues.values().stream()
                    .filter(line -> !line.waiters.isEmpty())
                    .min(Comparator.comparingDouble(line -> line.counter));
            admitNext(next.orElseThrow());
        }
    }

    @GuardedBy("lock")
    private void admitNext(AccountQueue line) {
        Waiter waiter = line.waiters.poll();
        virtualTime = Math.max(virtualTime, line.counter);
        line.counter += waiter.cost;
        waiter.admitted = true;
        waiting--;
        running++;
        waiter.condition.signal();
    }

    /** Changes how many places may be out; those already out stay. */
    public void setLimit(int next) {
        Preconditions.checkArgument(next > 0, "limit must be positive: %s", next);
        lock.lock();
        try {
            limit = next;
            admitWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** Refuses all that wait and all that come. */
    public void close() {
        lock.lock();
        try {
            closed = true;
            accountQueues.values().stream()
                    .flatMap(line -> line.waiters.stream())
                    .forEach(waiter -> waiter.condition.signal());
        } finally {
            lock.unlock();
        }
    }

    /** Returns how many places are out. */
    public int running() {
        lock.lock();
        try {
            return running;
        } finally {
            lock.unlock();
        }
    }

    /** Returns how many requests wait. */
    public int waiting() {
        lock.lock();
        try {
            return waiting;
        } finally {
            lock.unlock();
        }
    }

    /** Returns when another request in {@code line} would get its turn: each account with requests gets every nth place. */
    @GuardedBy("lock")
    private Duration expectedWait(AccountQueue line) {
        long others = accountQueues.values().stream()
                .filter(other -> other != line && !other.waiters.isEmpty())
                .count();
        long ahead = Math.min(waiting, line.waiters.size() * (others + 1) + others);
        return Duration.ofNanos((long) (meanHoldNanos * (ahead + 1) / limit));
    }

    private void release(long takenAt) {
        lock.lock();
        try {
            running--;
            double held = System.nanoTime() - takenAt;
            meanHoldNanos = meanHoldNanos == 0 ? held : meanHoldNanos + HOLD_TIME_SMOOTHING * (held - meanHoldNanos);
            accountQueues.values().removeIf(line -> line.waiters.isEmpty() && line.counter <= virtualTime);
            admitWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** A place at the endpoints. Closing it more than once has no further effect. Thread-safe. */
    public final class Permit implements AutoCloseable {

        private final long acquiredAtNanos;
        private final AtomicBoolean released = new AtomicBoolean();

        private Permit(long takenAt) {
            this.acquiredAtNanos = takenAt;
        }

        @Override
        public void close() {
            if (released.compareAndSet(false, true)) {
                release(acquiredAtNanos);
            }
        }
    }

    /** One account's waiting requests. */
    private static final class AccountQueue {
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double counter;
    }

    /** One waiting request. */
    private static final class Waiter {
        private final Condition condition;
        private final double cost;
        private boolean admitted;

        Waiter(Condition turn, double cost) {
            this.condition = turn;
            this.cost = cost;
        }
    }
}
