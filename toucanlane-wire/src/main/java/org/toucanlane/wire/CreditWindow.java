package org.toucanlane.wire;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Credit-based flow control: the number of bytes that a sender may still send on one call. Thread-safe.
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
     * Subtracts {@code bytes} from the window, blocking until any credit is available. Because any positive credit is
     * enough, the window may become negative by less than one chunk.
     *
     * @return false if the window was closed or no credit arrived within the timeout
     */
    boolean acquire(int bytes, long timeoutMillis) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
            while (available <= 0 && !closed && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
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
