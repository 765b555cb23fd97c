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

    private static final double HOLD_SMOOTHING = 0.1;

    private final ReentrantLock lock = new ReentrantLock();
    private final int maxWaiting;
    private final int maxWaitingPerAccount;

    @GuardedBy("lock")
    private final Map<String, Line> lines = new HashMap<>();

    @GuardedBy("lock")
    private int limit;

    @GuardedBy("lock")
    private int running;

    @GuardedBy("lock")
    private int waiting;

    @GuardedBy("lock")
    private double floor;

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
     * @throws QueueFullException at once if the request may not wait, or after {@code patience}
     * @throws InterruptedException if interrupted while waiting
     */
    public Place acquire(String account, int weight, long cost, Duration patience)
            throws QueueFullException, InterruptedException {
        Preconditions.checkArgument(weight > 0, "weight must be positive: %s", weight);
        Preconditions.checkArgument(cost >= 0, "cost must not be negative: %s", cost);
        lock.lockInterruptibly();
        try {
            Line line = lines.computeIfAbsent(account, name -> new Line());
            checkRoom(line, patience);
            Waiter waiter = new Waiter(lock.newCondition(), (double) cost / weight);
            enqueue(line, waiter);
            admitWaiting();
            return await(account, line, waiter, patience);
        } finally {
            lock.unlock();
        }
    }

    @GuardedBy("lock")
    private void checkRoom(Line line, Duration patience) throws QueueFullException {
        Duration expected = expectedWait(line);
        if (closed) {
            throw new QueueFullException(QueueFullException.Reason.CLOSED, expected);
        }
        boolean mustWait = running >= limit;
        if (mustWait && (waiting >= maxWaiting || line.waiters.size() >= maxWaitingPerAccount)) {
            throw new QueueFullException(QueueFullException.Reason.NO_ROOM, expected);
        }
        if (mustWait && expected.compareTo(patience) > 0) {
            throw new QueueFullException(QueueFullException.Reason.DEADLINE, expected);
        }
    }

    @GuardedBy("lock")
    private void enqueue(Line line, Waiter waiter) {
        if (line.waiters.isEmpty()) {
            line.counter = Math.max(line.counter, floor);
        }
        line.waiters.add(waiter);
        waiting++;
    }

    @GuardedBy("lock")
    private Place await(String account, Line line, Waiter waiter, Duration patience)
            throws QueueFullException, InterruptedException {
        long nanos = patience.toNanos();
        try {
            while (!waiter.admitted && nanos > 0 && !closed) {
                nanos = waiter.turn.awaitNanos(nanos);
            }
        } finally {
            if (!waiter.admitted) {
                line.waiters.remove(waiter);
                waiting--;
                forgetIdle(account, line);
            }
        }
        if (!waiter.admitted) {
            throw new QueueFullException(
                    closed ? QueueFullException.Reason.CLOSED : QueueFullException.Reason.DEADLINE, expectedWait(line));
        }
        return new Place(System.nanoTime());
    }

    @GuardedBy("lock")
    private void forgetIdle(String account, Line line) {
        if (line.waiters.isEmpty() && line.counter <= floor) {
            lines.remove(account);
        }
    }

    @GuardedBy("lock")
    private void admitWaiting() {
        while (running < limit && waiting > 0) {
            Optional<Line> next = lines.values().stream()
                    .filter(line -> !line.waiters.isEmpty())
                    .min(Comparator.comparingDouble(line -> line.counter));
            admitFrom(next.orElseThrow());
        }
    }

    @GuardedBy("lock")
    private void admitFrom(Line line) {
        Waiter waiter = line.waiters.poll();
        floor = Math.max(floor, line.counter);
        line.counter += waiter.cost;
        waiter.admitted = true;
        waiting--;
        running++;
        waiter.turn.signal();
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
            lines.values().stream().flatMap(line -> line.waiters.stream()).forEach(waiter -> waiter.turn.signal());
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
    private Duration expectedWait(Line line) {
        long others = lines.values().stream()
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
            meanHoldNanos = meanHoldNanos == 0 ? held : meanHoldNanos + HOLD_SMOOTHING * (held - meanHoldNanos);
            lines.values().removeIf(line -> line.waiters.isEmpty() && line.counter <= floor);
            admitWaiting();
        } finally {
            lock.unlock();
        }
    }

    /** A place at the endpoints. Closing it more than once has no further effect. Thread-safe. */
    public final class Place implements AutoCloseable {

        private final long takenAt;
        private final AtomicBoolean released = new AtomicBoolean();

        private Place(long takenAt) {
            this.takenAt = takenAt;
        }

        @Override
        public void close() {
            if (released.compareAndSet(false, true)) {
                release(takenAt);
            }
        }
    }

    /** One account's waiting requests. */
    private static final class Line {
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private double counter;
    }

    /** One waiting request. */
    private static final class Waiter {
        private final Condition turn;
        private final double cost;
        private boolean admitted;

        Waiter(Condition turn, double cost) {
            this.turn = turn;
            this.cost = cost;
        }
    }
}
