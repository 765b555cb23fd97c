package org.toucanlane.policy.retry;

import com.google.common.base.Preconditions;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the ratio of retries to calls, so that retries cannot amplify an overload.
 *
 * <p>Each first attempt deposits a fraction of a retry, up to a maximum balance; each retry withdraws one. Thread-safe
 * and lock-free.
 */
public final class RetryBudget {

    private static final long UNITS_PER_RETRY = 1000;

    private final long depositPerCall;
    private final long maxBalance;
    private final AtomicLong balance;

    /**
     * Creates a budget with the maximum balance.
     *
     * @param retriesPerCall retries deposited by each first attempt, from 0 to 1
     * @param maxRetries maximum number of retries that can accumulate
     */
    public RetryBudget(double retriesPerCall, int maxRetries) {
        Preconditions.checkArgument(
                retriesPerCall >= 0 && retriesPerCall <= 1, "retriesPerCall must be from 0 to 1: %s", retriesPerCall);
        Preconditions.checkArgument(maxRetries >= 0, "maxRetries must not be negative: %s", maxRetries);
        this.depositPerCall = Math.round(retriesPerCall * UNITS_PER_RETRY);
        this.maxBalance = maxRetries * UNITS_PER_RETRY;
        this.balance = new AtomicLong(maxBalance);
    }

    /** Deposits the fraction of a retry that a first attempt earns. */
    public void deposit() {
        balance.updateAndGet(current -> Math.min(maxBalance, current + depositPerCall));
    }

    /** Returns whether the balance covers a retry. */
    public boolean isAvailable() {
        return balance.get() >= UNITS_PER_RETRY;
    }

    /** Withdraws one retry if the balance covers it, and returns whether it did. */
    public boolean tryWithdraw() {
        long before = balance.getAndUpdate(current -> current >= UNITS_PER_RETRY ? current - UNITS_PER_RETRY : current);
        return before >= UNITS_PER_RETRY;
    }
}
