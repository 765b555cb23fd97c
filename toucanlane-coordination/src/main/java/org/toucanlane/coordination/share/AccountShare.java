package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import com.google.errorprone.annotations.CheckReturnValue;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * This host's part of one account's token bucket, including the tokens that it has lent to other hosts.
 *
 * <p>Invariant: {@code free + lent <= burst}, where {@code lent} is the sum of the unexpired loans. A charge is a loan
 * that expires immediately. The charges and the spent loans of any window therefore sum to at most
 * {@code rate * window + burst}, counted at their admission and excluding refunds.
 *
 * <p>Refunds are exact: a refund never leaves the bucket fuller than if only the smaller amount had been taken in the
 * first place. Tokens that would have overflowed the bucket in the meantime are not credited.
 *
 * <p>A new process does not know what the previous process on the same host admitted or lent. It therefore starts
 * empty and accrues no tokens until the loans of that process have expired.
 *
 * <p>Thread-safe; each method holds only this account's lock, for a time logarithmic in the number of entries.
 */
public final class AccountShare {

    /** Maximum number of entries kept for refunds. Evicted entries can no longer be refunded. */
    private static final int MAX_ENTRIES = 100_000;

    private final Object lock = new Object();

    @GuardedBy("lock")
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    @GuardedBy("lock")
    private final PriorityQueue<Entry> unexpiredLoans =
            new PriorityQueue<>(Comparator.comparingLong(Entry::expiryNanos));

    @GuardedBy("lock")
    private final PeakHistory peakLevels = new PeakHistory();

    @GuardedBy("lock")
    private ShareLimit limit;

    @GuardedBy("lock")
    private long freeUnits;

    @GuardedBy("lock")
    private long lentUnits;

    @GuardedBy("lock")
    private long accruedUntil;

    private AccountShare(ShareLimit limit, long accruesFromNanos) {
        this.limit = Preconditions.checkNotNull(limit, "limit");
        this.accruedUntil = accruesFromNanos;
    }

    /**
     * Creates an empty share that starts to accrue at {@code accruesFromNanos}, which must not be earlier than the
     * expiry of any loan that a previous process of this host may have granted.
     */
    public static AccountShare startingEmpty(ShareLimit limit, long accruesFromNanos) {
        return new AccountShare(limit, accruesFromNanos);
    }

    /** Creates a full share, for an account that no process has served before. */
    public static AccountShare startingFull(ShareLimit limit, long nowNanos) {
        AccountShare share = new AccountShare(limit, nowNanos);
        synchronized (share.lock) {
            share.freeUnits = TokenAmounts.toUnits(limit.burstTokens());
        }
        return share;
    }

    /**
     * Deducts {@code tokens} under {@code id} if that many are free. Returns whether they were deducted.
     *
     * @throws IllegalArgumentException if {@code tokens} is not positive
     */
    @CheckReturnValue
    public boolean charge(String id, long tokens, long nowNanos) {
        synchronized (lock) {
            advance(nowNanos);
            if (tokens > TokenAmounts.wholeTokens(freeUnits)) {
                return false;
            }
            return deduct(id, tokens, nowNanos, nowNanos) > 0;
        }
    }

    /**
     * Lends up to {@code tokens} under {@code id} until {@code expiryNanos} and returns the number lent. Returns 0 if
     * an entry with this id exists.
     *
     * @throws IllegalArgumentException if {@code tokens} is not positive
     */
    @CheckReturnValue
    public long lend(String id, long tokens, long nowNanos, long expiryNanos) {
        synchronized (lock) {
            advance(nowNanos);
            long granted = Math.min(tokens, TokenAmounts.wholeTokens(freeUnits));
            return granted <= 0 ? 0 : deduct(id, granted, nowNanos, expiryNanos);
        }
    }

    @GuardedBy("lock")
    private long deduct(String id, long tokens, long nowNanos, long expiryNanos) {
        Preconditions.checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        if (entries.containsKey(id)) {
            return 0;
        }
        Entry entry = new Entry(TokenAmounts.toUnits(tokens), expiryNanos);
        entries.put(id, entry);
        freeUnits -= entry.units;
        if (expiryNanos > nowNanos) {
            lentUnits += entry.units;
            unexpiredLoans.add(entry);
        } else {
            entry.spentIndex = peakLevels.nextIndex();
        }
        evictOldEntries();
        return tokens;
    }

    /**
     * Closes the entry {@code id} and credits {@code unusedTokens}, limited to the amount taken and to what the bucket
     * would have held. Has no effect if the id is unknown or its entry is closed.
     *
     * @throws IllegalArgumentException if {@code unusedTokens} is negative
     */
    public void refund(String id, long unusedTokens, long nowNanos) {
        Preconditions.checkArgument(unusedTokens >= 0, "unusedTokens must not be negative: %s", unusedTokens);
        synchronized (lock) {
            advance(nowNanos);
            Entry entry = entries.remove(id);
            if (entry == null) {
                return;
            }
            long taken = TokenAmounts.wholeTokens(entry.units);
            freeUnits += closeEntry(entry, TokenAmounts.toUnits(Math.min(unusedTokens, taken)));
            recordLevel();
            if (entries.isEmpty()) {
                peakLevels.discardBefore(peakLevels.nextIndex() - 1);
            }
        }
    }

    @GuardedBy("lock")
    private long closeEntry(Entry entry, long unused) {
        if (unexpiredLoans.remove(entry)) {
            lentUnits -= entry.units;
            return unused;
        }
        long capacityLeft = -Math.max(peakLevels.maxSince(entry.spentIndex), level());
        long credit = Math.max(0, Math.min(unused, capacityLeft));
        peakLevels.raiseSince(entry.spentIndex, credit);
        return credit;
    }

    /** Replaces the limit and discards free tokens above the new burst. */
    public void resize(ShareLimit next, long nowNanos) {
        synchronized (lock) {
            advance(nowNanos);
            limit = Preconditions.checkNotNull(next, "next");
            freeUnits = Math.min(freeUnits, Math.max(0, TokenAmounts.toUnits(next.burstTokens()) - lentUnits));
        }
    }

    /** Returns the number of whole tokens that are free at {@code nowNanos}. */
    public long freeTokens(long nowNanos) {
        synchronized (lock) {
            advance(nowNanos);
            return TokenAmounts.wholeTokens(freeUnits);
        }
    }

    /** Returns the current limit. */
    public ShareLimit limit() {
        synchronized (lock) {
            return limit;
        }
    }

    @GuardedBy("lock")
    private void advance(long nowNanos) {
        while (!unexpiredLoans.isEmpty() && unexpiredLoans.peek().expiryNanos <= nowNanos) {
            Entry expired = unexpiredLoans.poll();
            accrue(expired.expiryNanos);
            lentUnits -= expired.units;
            expired.spentIndex = peakLevels.nextIndex();
        }
        accrue(nowNanos);
    }

    @GuardedBy("lock")
    private void accrue(long untilNanos) {
        if (untilNanos > accruedUntil) {
            long capacityLeft = TokenAmounts.toUnits(limit.burstTokens()) - lentUnits - freeUnits;
            freeUnits += TokenAmounts.accrued(limit.tokensPerSecond(), untilNanos - accruedUntil, capacityLeft);
            accruedUntil = untilNanos;
        }
        recordLevel();
    }

    @GuardedBy("lock")
    private void evictOldEntries() {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > MAX_ENTRIES && oldest.hasNext()) {
            if (oldest.next().spentIndex >= 0) {
                oldest.remove();
            }
        }
    }

    /** Returns the bucket's level relative to full: zero when full, negative when below. */
    @GuardedBy("lock")
    private long level() {
        return freeUnits + lentUnits - TokenAmounts.toUnits(limit.burstTokens());
    }

    @GuardedBy("lock")
    private void recordLevel() {
        peakLevels.record(level());
    }

    /**
     * A charge or a loan; {@code spentIndex} is the peak-level index from which it counts as spent, negative before.
     */
    private static final class Entry {

        private final long units;
        private final long expiryNanos;
        private long spentIndex = -1;

        Entry(long units, long expiry) {
            this.units = units;
            this.expiryNanos = expiry;
        }

        long expiryNanos() {
            return expiryNanos;
        }
    }
}
