package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Random sequences of charges, loans and give-backs against a bucket that is recomputed from the beginning. */
class AccountSharePropertyTest {

    private static final ShareLimit LIMIT = new ShareLimit(7, 40);
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int STEPS = 120;
    private static final long SEED = 20261204L;

    @Property(tries = 400, seed = "20261204")
    void refundRestoresLevelOfSmallerCharge(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        AccountShare share = AccountShare.startingFull(LIMIT, 0);
        ReferenceBucket naive = new ReferenceBucket(LIMIT);
        List<OpenCharge> open = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(12) * STEP;
            if (random.nextInt(3) > 0 || open.isEmpty()) {
                long tokens = 1 + random.nextInt(15);
                if (share.charge("c" + step, tokens, now)) {
                    open.add(new OpenCharge("c" + step, naive.charge(now, tokens), tokens, now, 0));
                }
            } else {
                OpenCharge ended = open.remove(random.nextInt(open.size()));
                long unused = random.nextInt((int) ended.tokens + 1);
                share.refund(ended.id, unused, now);
                naive.refund(ended.index, unused);
            }
            assertThat(share.freeTokens(now))
                    .as("free tokens at step %s", step)
                    .isEqualTo(TokenAmounts.wholeTokens(naive.levelUnits(now)));
        }
    }

    @Property(tries = 400, seed = "20261204")
    void noWindowExceedsLimitWhenLoansAreSpentBeforeExpiry(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        assertThat(maxExcess(new Random(seed), false)).isLessThanOrEqualTo(0);
    }

    /** The control: a holder that credits all that comes back breaks the limit on the same sequences. */
    @Property(tries = 1)
    void detectsShareThatCreditsFullRefund() {
        Random seeds = new Random(SEED);
        boolean found = seeds.longs(400).anyMatch(seed -> maxExcess(new Random(seed), true) > 0);
        assertThat(found).as("the check finds the unguarded version").isTrue();
    }

    private static long maxExcess(Random random, boolean creditsEverything) {
        AccountShare share = AccountShare.startingFull(LIMIT, 0);
        FullRefundBucket naive = new FullRefundBucket(LIMIT);
        AdmissionHistory record = new AdmissionHistory();
        List<OpenCharge> open = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(12) * STEP;
            String id = "c" + step;
            long tokens = 1 + random.nextInt(15);
            int choice = random.nextInt(4);
            long life = choice == 0 ? 0 : (1 + random.nextInt(20)) * STEP;
            if (choice < 2) {
                long taken = creditsEverything ? naive.take(tokens, now) : share.lend(id, tokens, now, now + life);
                if (taken > 0) {
                    open.add(new OpenCharge(id, record.add(now, taken), taken, now, life));
                }
            } else if (!open.isEmpty()) {
                OpenCharge ended = open.remove(random.nextInt(open.size()));
                long unused = random.nextInt((int) ended.tokens + 1);
                if (creditsEverything) {
                    naive.refund(unused, now);
                } else {
                    share.refund(ended.id, unused, now);
                }
                record.setTime(ended.index, ended.randomSpendTime(now, random));
                record.refund(ended.index, unused);
            }
        }
        open.forEach(left -> record.setTime(left.index, left.randomSpendTime(Long.MAX_VALUE, random)));
        return record.maxExcess(LIMIT);
    }

    private record OpenCharge(String id, int index, long tokens, long takenAt, long lifetime) {

        /** Returns a time at which the tokens may have been spent: within the loan's life and before {@code end}. */
        long randomSpendTime(long end, Random random) {
            long latest = Math.min(end - 1, takenAt + lifetime - 1);
            long span = Math.max(0, latest - takenAt);
            return takenAt + (span == 0 ? 0 : (long) (random.nextDouble() * span));
        }
    }

    /** A bucket that credits whatever is given back, up to the burst. */
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
