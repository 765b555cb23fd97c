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
 * The part of one account's token bucket that this host holds, and what it has lent of it.
 *
 * <p>Invariant: {@code free + lent <= burst}, where {@code lent} is the sum of the loans that have not expired. A
 * charge is a loan that expires at once. Therefore the charges and the spent loans of any window come to at most
 * {@code rate * window + burst}, counted at their admission and without what was given back.
 *
 * <p>Giving tokens back is exact: it credits no more than would be held had the smaller amount been taken in the first
 * place. Tokens that would have overflowed the bucket meanwhile are not credited.
 *
 * <p>A new process cannot know what an earlier one on the same host admitted or lent. It therefore starts empty and
 * accrues nothing until the loans of its predecessor have expired.
 *
 * <p>Thread-safe; each method takes the lock of this account only, for a time logarithmic in its open entries.
 */
public final class AccountShare {

    /** Largest number of entries kept for a later give-back; older ones keep what they took. */
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
     * Creates an empty share that accrues from {@code accruesFromNanos} on, which must be no earlier than the end of
     * every loan that an earlier process of this host may have granted.
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
     * Takes {@code tokens} under {@code id} if all of them are free, and returns whether it did.
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
     * Lends up to {@code tokens} under {@code id} until {@code expiryNanos} and returns how many. A repeated id lends
     * nothing.
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
     * Ends the entry {@code id} and credits {@code unusedTokens} of it, at most what was taken, as far as the bucket
     * would hold them. Has no effect for an id that is unknown or already ended.
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
        long room = -Math.max(peakLevels.maxSince(entry.spentIndex), level());
        long credit = Math.max(0, Math.min(unused, room));
        peakLevels.raiseSince(entry.spentIndex, credit);
        return credit;
    }

    /** Replaces the limit; what is free above the new burst is lost. */
    public void resize(ShareLimit next, long nowNanos) {
        synchronized (lock) {
            advance(nowNanos);
            limit = Preconditions.checkNotNull(next, "next");
            freeUnits = Math.min(freeUnits, Math.max(0, TokenAmounts.toUnits(next.burstTokens()) - lentUnits));
        }
    }

    /** Returns the tokens that are free at {@code nowNanos}. */
    public long freeTokens(long nowNanos) {
        synchronized (lock) {
            advance(nowNanos);
            return TokenAmounts.wholeTokens(freeUnits);
        }
    }

    /** Returns the limit in force. */
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
            long room = TokenAmounts.toUnits(limit.burstTokens()) - lentUnits - freeUnits;
            freeUnits += TokenAmounts.accrued(limit.tokensPerSecond(), untilNanos - accruedUntil, room);
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

    /** Returns how far the bucket is above full; zero when full, negative with room left. */
    @GuardedBy("lock")
    private long level() {
        return freeUnits + lentUnits - TokenAmounts.toUnits(limit.burstTokens());
    }

    @GuardedBy("lock")
    private void recordLevel() {
        peakLevels.record(level());
    }

    /** Tokens taken together; {@code spentAt} is negative until they count as spent. */
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
