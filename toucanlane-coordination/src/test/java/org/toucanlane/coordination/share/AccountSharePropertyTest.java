package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Compares {@link AccountShare} with a reference bucket over random sequences of charges, loans and refunds. */
class AccountSharePropertyTest {

    private static final ShareLimit LIMIT = new ShareLimit(7, 40);
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int STEPS = 120;
    private static final long SEED = 20261204L;

    @Property(tries = 400, seed = "20261204")
    void refundRestoresLevelOfSmallerCharge(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        AccountShare share = AccountShare.startingFull(LIMIT, 0);
        ReferenceBucket reference = new ReferenceBucket(LIMIT);
        List<OpenCharge> open = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(12) * STEP;
            if (random.nextInt(3) > 0 || open.isEmpty()) {
                long tokens = 1 + random.nextInt(15);
                if (share.charge("c" + step, tokens, now)) {
                    open.add(new OpenCharge("c" + step, reference.charge(now, tokens), tokens, now, 0));
                }
            } else {
                OpenCharge closed = open.remove(random.nextInt(open.size()));
                long unused = random.nextInt((int) closed.tokens + 1);
                share.refund(closed.id, unused, now);
                reference.refund(closed.index, unused);
            }
            assertThat(share.freeTokens(now))
                    .as("free tokens at step %s", step)
                    .isEqualTo(TokenAmounts.wholeTokens(reference.levelUnits(now)));
        }
    }

    @Property(tries = 400, seed = "20261204")
    void noWindowExceedsLimitWhenLoansAreSpentBeforeExpiry(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertThat(maxExcess(new Random(seed), false)).isLessThanOrEqualTo(0);
    }

    /** Negative control: a bucket that credits every refund in full exceeds the limit on the same sequences. */
    @Property(tries = 1)
    void detectsShareThatCreditsFullRefund() {
        Random seeds = new Random(SEED);
        boolean found = seeds.longs(400).anyMatch(seed -> maxExcess(new Random(seed), true) > 0);
        assertThat(found)
                .as("the check detects the version that credits full refunds")
                .isTrue();
    }

    private static long maxExcess(Random random, boolean creditsFullRefund) {
        AccountShare share = AccountShare.startingFull(LIMIT, 0);
        FullRefundBucket bucket = new FullRefundBucket(LIMIT);
        AdmissionHistory record = new AdmissionHistory();
        List<OpenCharge> open = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(12) * STEP;
            String id = "c" + step;
            long tokens = 1 + random.nextInt(15);
            int choice = random.nextInt(4);
            long lifetime = choice == 0 ? 0 : (1 + random.nextInt(20)) * STEP;
            if (choice < 2) {
                long taken = creditsFullRefund ? bucket.take(tokens, now) : share.lend(id, tokens, now, now + lifetime);
                if (taken > 0) {
                    open.add(new OpenCharge(id, record.add(now, taken), taken, now, lifetime));
                }
            } else if (!open.isEmpty()) {
                OpenCharge closed = open.remove(random.nextInt(open.size()));
                long unused = random.nextInt((int) closed.tokens + 1);
                if (creditsFullRefund) {
                    bucket.refund(unused, now);
                } else {
                    share.refund(closed.id, unused, now);
                }
                record.setTime(closed.index, closed.randomSpendTime(now, random));
                record.refund(closed.index, unused);
            }
        }
        open.forEach(charge -> record.setTime(charge.index, charge.randomSpendTime(Long.MAX_VALUE, random)));
        return record.maxExcess(LIMIT);
    }

    private record OpenCharge(String id, int index, long tokens, long takenAt, long lifetime) {

        /**
         * Returns a random time at which the tokens may have been spent, before the loan expires and before
         * {@code end}.
         */
        long randomSpendTime(long end, Random random) {
            long latest = Math.min(end - 1, takenAt + lifetime - 1);
            long span = Math.max(0, latest - takenAt);
            return takenAt + (span == 0 ? 0 : (long) (random.nextDouble() * span));
        }
    }

    /** A bucket that credits every refund in full, up to the burst. */
    private static final class FullRefundBucket {
        private final ShareLimit limit;
        private long level;
        private long updatedAt;

        FullRefundBucket(ShareLimit limit) {
            this.limit = limit;
            this.level = TokenAmounts.toUnits(limit.burstTokens());
        }

        private void advance(long now) {
            add(limit.tokensPerSecond() * (now - updatedAt));
            updatedAt = now;
        }

        private void add(long units) {
            level = Math.min(TokenAmounts.toUnits(limit.burstTokens()), level + units);
        }

        long take(long tokens, long now) {
            advance(now);
            long taken = Math.min(tokens, TokenAmounts.wholeTokens(level));
            level -= TokenAmounts.toUnits(taken);
            return taken;
        }

        void refund(long tokens, long now) {
            advance(now);
            add(TokenAmounts.toUnits(tokens));
        }
    }
}
