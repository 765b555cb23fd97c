package org.toucanlane.edge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.LimitUnit;
import org.toucanlane.domain.serving.ServingAccount;
import org.toucanlane.policy.share.LimitShare;

class AccountLimiterTest {

    private static final double RATE = 10_000;
    private static final double BURST = 10_000;

    private final ServingAccount account =
            new ServingAccount("acme", OptionalInt.empty(), RATE, BURST, LimitUnit.TOKENS, 200, Set.of());

    private long now;

    private static AccountShare isolated(double fraction) {
        return new AccountShare(fraction, fraction, 0);
    }

    @Test
    void startsEmptySoThatARestartAllowsNoBurst() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> isolated(1));
        assertThat(limiter.charge(account, 100)).isPresent();
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 100)).isEmpty();
    }

    @Test
    void admitsARequestLargerThanItsShareAndRepaysTheDebt() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> isolated(0.1));
        limiter.charge(account, 1);
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 5_000)).isEmpty();
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 1)).isPresent();
        now += 4_000_000_000L;
        assertThat(limiter.charge(account, 1)).isEmpty();
    }

    @Test
    void refundsARequestThatWasNotSent() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> isolated(1));
        limiter.charge(account, 1);
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 9_999)).isEmpty();
        assertThat(limiter.charge(account, 9_999)).isPresent();
        limiter.refund(account, 9_999);
        assertThat(limiter.charge(account, 9_999)).isEmpty();
    }

    /** Replays an account at several times its rate on four hosts, one of which receives most of the requests. */
    @Test
    void keepsTheTotalWithinRateAndBurstInEachWindow() {
        double[] shares = {0.7, 0.1, 0.1, 0.1};
        List<AccountLimiter> hosts = new ArrayList<>();
        for (double share : shares) {
            hosts.add(new AccountLimiter(() -> now, name -> isolated(share)));
        }
        long cost = 380;
        long[] admitted = new long[40];
        for (int millis = 0; millis < 40_000; millis++) {
            now = millis * 1_000_000L;
            AccountLimiter host = hosts.get(millis % 10 < 7 ? 0 : millis % 3 + 1);
            admitted[millis / 1_000] += host.charge(account, cost).isEmpty() ? cost : 0;
        }
        for (int from = 0; from + 8 <= admitted.length; from++) {
            long sum = 0;
            for (int second = from; second < from + 8; second++) {
                sum += admitted[second];
            }
            assertThat((double) sum).isLessThanOrEqualTo(RATE * 8 + BURST + 4 * cost);
            assertThat((double) sum).isGreaterThan(from < 2 ? 0 : RATE * 8 * 0.97);
        }
    }

    /**
     * Replays large prompts among small ones on eight hosts at 85% of the limit in total, each sent to a random host.
     * Hosts know each other's usage with a delay of up to 200 ms. Guards against rejections that occur below the limit
     * because a large request leaves its host in debt.
     */
    @Test
    void rejectsAlmostNothingBelowTheLimitDespiteDebtsFromLargeRequests() {
        Replay replay = new Replay(8, 5);
        replay.run(40, 0.85);
        assertThat(replay.rejected).isLessThan(replay.requests / 100);
    }

    /**
     * Replays an account at 7.5 times its limit and checks that borrowing between hosts stays within the fleet's bound.
     */
    @Test
    void keepsBorrowingHostsWithinTheBound() {
        Replay replay = new Replay(8, 6);
        replay.run(40, 7.5);
        for (int from = 2; from + 8 <= 40; from++) {
            double sum = 0;
            for (int second = from; second < from + 8; second++) {
                sum += replay.admitted[second];
            }
            assertThat(sum).isLessThanOrEqualTo((REPLAY_RATE * 8 + REPLAY_RATE) * 1.1 + 190_000);
            assertThat(sum).isGreaterThan(REPLAY_RATE * 8 * 0.95);
        }
    }

    private static final double REPLAY_RATE = 250_000;

    /** Simulates hosts that each report their usage five times per second. */
    private final class Replay {

        private final ServingAccount large = new ServingAccount(
                "large", OptionalInt.empty(), REPLAY_RATE, REPLAY_RATE, LimitUnit.TOKENS, 200, Set.of());
        private final List<AccountLimiter> hosts = new ArrayList<>();
        private final List<AccountUsage> reports = new ArrayList<>();
        private final Random random;
        private final double[] admitted = new double[60];
        private long requests;
        private long rejected;

        private Replay(int count, long seed) {
            random = new Random(seed);
            for (int i = 0; i < count; i++) {
                int self = i;
                reports.add(AccountUsage.NONE);
                hosts.add(new AccountLimiter(() -> now, name -> shareOf(self)));
            }
        }

        private AccountShare shareOf(int self) {
            AccountUsage others = AccountUsage.NONE;
            for (int i = 0; i < hosts.size(); i++) {
                others = i == self ? others : others.plus(reports.get(i));
            }
            double own = hosts.get(self).demandOf("large");
            double fraction = LimitShare.of(hosts.size(), hosts.size(), own, own + others.demand());
            return new AccountShare(fraction, 1, others.level());
        }

        private void run(int seconds, double loadFactor) {
            double meanCost = 0.1 * 17_000 + 0.9 * 400;
            double perMilli = REPLAY_RATE * loadFactor / meanCost / 1_000;
            for (int millis = 0; millis < seconds * 1_000; millis++) {
                now = millis * 1_000_000L;
                if (millis % 25 == 0) {
                    int host = millis / 25 % hosts.size();
                    reports.set(host, hosts.get(host).usage().getOrDefault("large", AccountUsage.NONE));
                }
                for (double expected = perMilli; random.nextDouble() < expected; expected--) {
                    send(millis, random.nextInt(10) == 0 ? 17_000 : 400);
                }
            }
        }

        private void send(int millis, long cost) {
            AccountLimiter host = hosts.get(random.nextInt(hosts.size()));
            boolean accepted = host.charge(large, cost).isEmpty();
            admitted[millis / 1_000] += accepted ? cost : 0;
            requests += millis < 2_000 ? 0 : 1;
            rejected += accepted || millis < 2_000 ? 0 : 1;
        }
    }
}
