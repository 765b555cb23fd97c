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
 * <p>Invariants: a bucket starts empty, so a restart brings no second burst; a request is admitted while the bucket is
 * not empty and may leave it in debt, so a request larger than this host's part can still run. Used on one event loop
 * only.
 */
public final class AccountLimiter {

    /** Part of the burst that buckets hold together; the rest covers debts. */
    private static final double BURST_PART = 0.95;

    /** Time over which demand is averaged: short against the peaks of a day, long against a single request. */
    private static final double DEMAND_SECONDS = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final Duration SHORTEST_WAIT = Duration.ofMillis(50);

    private final LongSupplier clock;
    private final Shares shares;
    private final Map<String, Bucket> buckets = new HashMap<>();

    /** Creates a limiter without accounts. */
    public AccountLimiter(LongSupplier clock, Shares shares) {
        this.clock = clock;
        this.shares = shares;
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
        Bucket bucket = buckets.computeIfAbsent(account.name(), key -> new Bucket(clock.getAsLong()));
        return bucket.charge(account, cost, shares.of(account.name()), clock.getAsLong());
    }

    /** Gives back what was charged for a request that was not sent to an endpoint. */
    public void refund(ServingAccount account, long cost) {
        Bucket bucket = buckets.get(account.name());
        if (bucket != null) {
            bucket.level += cost;
        }
    }

    /** Returns what callers ask of this host in a second, by account. */
    public Map<String, Double> demand() {
        long now = clock.getAsLong();
        Map<String, Double> demand = new HashMap<>();
        buckets.forEach((name, bucket) -> demand.put(name, bucket.demand(now)));
        return demand;
    }

    /** Returns what callers ask of this host for an account in a second. */
    public double demandOf(String account) {
        Bucket bucket = buckets.get(account);
        return bucket == null ? 0 : bucket.demand(clock.getAsLong());
    }

    /** Returns the part of an account's limit that this host may use now. */
    public double shareOf(String account) {
        return shares.of(account);
    }

    /** Tells which part of an account's limit this host may use. */
    public interface Shares {

        /** Returns the part, from 0 to 1. */
        double of(String account);
    }

    /** One account's part. */
    private static final class Bucket {

        private double level;
        private long filledAt;
        private double demandPerSecond;
        private long demandAt;

        private Bucket(long now) {
            filledAt = now;
            demandAt = now;
        }

        private Optional<Duration> charge(ServingAccount account, long cost, double share, long now) {
            note(cost, now);
            double rate = account.ratePerSecond() * share;
            double room = account.burst() * share * BURST_PART;
            level = Math.min(room, level + rate * (now - filledAt) / NANOS_PER_SECOND);
            filledAt = now;
            if (level > 0) {
                level -= cost;
                return Optional.empty();
            }
            Duration wait =
                    Duration.ofNanos((long) (Math.min(60, (1 - level) / Math.max(rate, 1e-6)) * NANOS_PER_SECOND));
            return Optional.of(wait.compareTo(SHORTEST_WAIT) < 0 ? SHORTEST_WAIT : wait);
        }

        private void note(long cost, long now) {
            demandPerSecond = demand(now) + cost / DEMAND_SECONDS;
            demandAt = now;
        }

        private double demand(long now) {
            return demandPerSecond * Math.exp(-(now - demandAt) / NANOS_PER_SECOND / DEMAND_SECONDS);
        }
    }
}
