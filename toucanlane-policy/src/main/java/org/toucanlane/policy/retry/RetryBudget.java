package org.toucanlane.policy.retry;

import com.google.common.base.Preconditions;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A bound on the share of calls that are repeats, so that repeats can't multiply an overload.
 *
 * <p>Each first call earns a fraction of a repeat; saved repeats are bounded. Thread-safe, without locks.
 */
public final class RetryBudget {

    private static final long UNITS_PER_RETRY = 1000;

    private final long depositPerCall;
    private final long maxBalance;
    private final AtomicLong balance;

    /**
     * Creates a full budget.
     *
     * @param retriesPerCall repeats earned by each first call, between 0 and 1
     * @param maxSaved repeats that may be saved up
     */
    public RetryBudget(double retriesPerCall, int maxSaved) {
        Preconditions.checkArgument(
                retriesPerCall >= 0 && retriesPerCall <= 1, "retriesPerCall must be from 0 to 1: %s", retriesPerCall);
        Preconditions.checkArgument(maxSaved >= 0, "maxSaved must not be negative: %s", maxSaved);
        this.depositPerCall = Math.round(retriesPerCall * UNITS_PER_RETRY);
        this.maxBalance = maxSaved * UNITS_PER_RETRY;
        this.balance = new AtomicLong(maxBalance);
    }

    /** Notes a first call. */
    public void deposit() {
        balance.updateAndGet(saved -> Math.min(maxBalance, saved + depositPerCall));
    }

    /** Returns whether a repeat is left. */
    public boolean isAvailable() {
        return balance.get() >= UNITS_PER_RETRY;
    }

    /** Takes one repeat, and returns whether there was one. */
    public boolean tryWithdraw() {
        long before = balance.getAndUpdate(saved -> saved >= UNITS_PER_RETRY ? saved - UNITS_PER_RETRY : saved);
        return before >= UNITS_PER_RETRY;
    }
}
