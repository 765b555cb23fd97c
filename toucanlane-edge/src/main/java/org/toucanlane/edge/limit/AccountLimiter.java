package org.toucanlane.edge.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.domain.serving.ServingConfiguration;

/**
 * Enforces this host's share of each account's limit with a token bucket whose rate follows the account's local demand.
 *
 * <p>The expected load is a few large requests among many small ones, on hosts that each hold a share of the limit. A
 * large request leaves its host in debt while other hosts still have tokens. A host in debt may therefore borrow from
 * the levels that other hosts report, up to a fraction equal to its share of the limit. The borrowed tokens remain as
 * debt in the local bucket.
 *
 * <p>Invariants: buckets start empty, so a restart does not allow a second burst. A request is admitted while any
 * tokens are available and may leave the bucket in debt, so that a request larger than this host's share can still run.
 * Not thread-safe: confined to one event loop.
 */
public final class AccountLimiter {

    /** Fraction of the burst that all buckets may hold in total; the rest is a reserve for debts. */
    private static final double BURST_FRACTION = 0.95;

    /** Averaging window for demand: much shorter than daily peaks, much longer than a single request. */
    private static final double DEMAND_WINDOW_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(50);

    private final LongSupplier clock;
    private final ShareSource shareSource;
    private final long startedAt;
    private final Map<String, Bucket> buckets = new HashMap<>();

    /** Creates a limiter without accounts. All buckets accrue tokens from the time of this call. */
    public AccountLimiter(LongSupplier clock, ShareSource shareSource) {
        this.clock = clock;
        this.shareSource = shareSource;
        this.startedAt = clock.getAsLong();
    }

    /** Removes the buckets of accounts that {@code next} does not contain. */
    public void configure(ServingConfiguration next) {
        buckets.keySet().retainAll(next.accountNames());
    }

    /**
     * Charges {@code cost} to an account's bucket.
     *
     * @return the time after which to retry, or empty if the request is admitted
     */
    public Optional<Duration> charge(ServingAccount account, long cost) {
        if (!account.isLimited()) {
            return Optional.empty();
        }
        Bucket bucket = buckets.computeIfAbsent(account.name(), key -> new Bucket(account, startedAt));
        bucket.account = account;
        return bucket.charge(cost, shareSource.shareOf(account.name()), clock.getAsLong());
    }

    /** Refunds the charge for a request that was not sent to an endpoint. */
    public void refund(ServingAccount account, long cost) {
        Bucket bucket = buckets.get(account.name());
        if (bucket != null) {
            bucket.level += cost;
        }
    }

    /** Returns this host's demand and bucket level, by account. */
    public Map<String, AccountUsage> usage() {
        long now = clock.getAsLong();
        Map<String, AccountUsage> usage = new HashMap<>();
        buckets.forEach((name, bucket) -> {
            bucket.refill(shareSource.shareOf(name), now);
            usage.put(name, new AccountUsage(bucket.demand(now), bucket.level));
        });
        return usage;
    }

    /** Returns the account's demand at this host per second. */
    public double demandOf(String account) {
        Bucket bucket = buckets.get(account);
        return bucket == null ? 0 : bucket.demand(clock.getAsLong());
    }

    /** Returns this host's current share of an account's limit. */
    public AccountShare shareOf(String account) {
        return shareSource.shareOf(account);
    }

    /** Provides this host's share of an account's limit. */
    public interface ShareSource {

        /** Returns the current share of the limit of {@code account}. */
        AccountShare shareOf(String account);
    }

    /** The token bucket of one account. */
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
            double deficit = 1 - level - share.borrowable();
            Duration delay = Duration.ofNanos((long) (Math.min(60, deficit / Math.max(rate, 1e-6)) * NANOS_PER_SECOND));
            return Optional.of(delay.compareTo(MIN_RETRY_DELAY) < 0 ? MIN_RETRY_DELAY : delay);
        }

        /**
         * Adds the tokens accrued since the last refill. The level is capped at this host's share of the burst or, if
         * larger, at the amount by which the reachable hosts together are below their burst.
         */
        private void refill(AccountShare share, long now) {
            double accrued = account.ratePerSecond() * share.fraction() * (now - refilledAt) / NANOS_PER_SECOND;
            refilledAt = now;
            double maxLevel = account.burst() * BURST_FRACTION;
            double shortfall = Math.min(maxLevel, maxLevel * share.reachableFraction() - share.remoteLevel());
            level = Math.min(level + accrued, Math.max(maxLevel * share.fraction(), shortfall));
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
