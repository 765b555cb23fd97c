package org.toucanlane.edge.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingConfiguration;

/**
 * This host's part of each account's limit, as a token bucket whose rate follows the account's demand here.
 *
 * <p>Load pattern: few large requests among many small ones, on hosts that each hold a part of the limit. A large one
 * leaves its host in debt while other hosts have plenty, so a host in debt may also draw on what the others report,
 * each host on a part of it that is as large as its part of the limit. What is drawn stays as a debt here.
 *
 * <p>Invariants: buckets are empty when the process starts, so a restart brings no second burst; a request is admitted
 * while there is anything to draw on, and may leave the bucket in debt, so a request larger than this host's part can
 * still run. Used on one event loop only.
 */
public final class AccountLimiter {

    /** Part of the burst that buckets hold together; the rest covers debts. */
    private static final double BURST_FRACTION = 0.95;

    /** Time over which demand is averaged: short against the peaks of a day, long against a single request. */
    private static final double DEMAND_WINDOW_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(50);

    private final LongSupplier clock;
    private final ShareSource shares;
    private final long startedAt;
    private final Map<String, Bucket> buckets = new HashMap<>();

    /** Creates a limiter without accounts, whose buckets begin to fill now. */
    public AccountLimiter(LongSupplier clock, ShareSource shares) {
        this.clock = clock;
        this.shares = shares;
        this.startedAt = clock.getAsLong();
    }

    /** Drops the accounts that {@code next} does not know. */
    public void configure(ServingConfiguration next) {
        buckets.keySet().retainAll(next.accountNames());
    }

    /**
     * Charges {@code cost} to an account.
     *
     * @return when there is room again, or empty if the request is admitted
     */
    public Optional<Duration> charge(ServingAccount account, long cost) {
        if (!account.isLimited()) {
            return Optional.empty();
        }
        Bucket bucket = buckets.computeIfAbsent(account.name(), key -> new Bucket(account, startedAt));
        bucket.account = account;
        return bucket.charge(cost, shares.shareOf(account.name()), clock.getAsLong());
    }

    /** Gives back what was charged for a request that was not sent to an endpoint. */
    public void refund(ServingAccount account, long cost) {
        Bucket bucket = buckets.get(account.name());
        if (bucket != null) {
            bucket.level += cost;
        }
    }

    /** Returns what this host has used and holds, by account. */
    public Map<String, AccountUsage> usage() {
        long now = clock.getAsLong();
        Map<String, AccountUsage> uses = new HashMap<>();
        buckets.forEach((name, bucket) -> {
            bucket.refill(shares.shareOf(name), now);
            uses.put(name, new AccountUsage(bucket.demand(now), bucket.level));
        });
        return uses;
    }

    /** Returns what callers ask of this host for an account in a second. */
    public double demandOf(String account) {
        Bucket bucket = buckets.get(account);
        return bucket == null ? 0 : bucket.demand(clock.getAsLong());
    }

    /** Returns what this host may use of an account's limit now. */
    public AccountShare shareOf(String account) {
        return shares.shareOf(account);
    }

    /** Tells what this host may use of an account's limit. */
    public interface ShareSource {

        /** Returns what it may use now. */
        AccountShare shareOf(String account);
    }

    /** One account's part. */
    private static final class Bucket {

        private ServingAccount account;
        private double level;
        private long refilledAt;
        private double demandPerSecond;
        private long demandAt;

        private Bucket(ServingAccount account, long now) {
            this.account = account;
            refilledAt = now;
            demandAt = now;
        }

        private Optional<Duration> charge(long cost, AccountShare share, long now) {
            recordDemand(cost, now);
            refill(share, now);
            if (level + share.borrowable() > 0) {
                level -= cost;
                return Optional.empty();
            }
            double rate = account.ratePerSecond() * share.fraction();
            double missing = 1 - level - share.borrowable();
            Duration wait = Duration.ofNanos((long) (Math.min(60, missing / Math.max(rate, 1e-6)) * NANOS_PER_SECOND));
            return Optional.of(wait.compareTo(MIN_RETRY_DELAY) < 0 ? MIN_RETRY_DELAY : wait);
        }

        /** Adds what has come since, up to this host's part of the burst or, if that is more, to what all together lack. */
        private void refill(AccountShare share, long now) {
            double added = account.ratePerSecond() * share.fraction() * (now - refilledAt) / NANOS_PER_SECOND;
            refilledAt = now;
            double all = account.burst() * BURST_FRACTION;
            double lacking = Math.min(all, all * share.reachableFraction() - share.remoteLevel());
            level = Math.min(level + added, Math.max(all * share.fraction(), lacking));
        }

        private void recordDemand(long cost, long now) {
            demandPerSecond = demand(now) + cost / DEMAND_WINDOW_SECONDS;
            demandAt = now;
        }

        private double demand(long now) {
            return demandPerSecond * Math.exp(-(now - demandAt) / NANOS_PER_SECOND / DEMAND_WINDOW_SECONDS);
        }
    }
}
