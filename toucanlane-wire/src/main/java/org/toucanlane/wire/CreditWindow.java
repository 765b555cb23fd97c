package org.toucanlane.wire;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Bytes that a sender may still send on one call. Thread-safe.
 */
final class CreditWindow {

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();

    @GuardedBy("lock")
    private long available;

    @GuardedBy("lock")
    private boolean closed;

    CreditWindow(long available) {
        this.available = available;
    }

    /**
     * Takes {@code bytes}, waiting until any credit is left; the window may go below zero by one piece.
     *
     * @return false if the window was closed or no credit came within the time
     */
    boolean acquire(int bytes, long waitMillis) throws InterruptedException {
        lock.lock();
        try {
            long nanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
            while (available <= 0 && !closed && nanos > 0) {
                nanos = changed.awaitNanos(nanos);
            }
            if (closed || available <= 0) {
                return false;
            }
            available -= bytes;
            return true;
        } finally {
            lock.unlock();
        }
    }

    void replenish(long bytes) {
        lock.lock();
        try {
            available += bytes;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
