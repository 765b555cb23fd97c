package org.toucanlane.edge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.toucanlane.domain.serving.LimitUnit;
import org.toucanlane.domain.serving.ServingAccount;

class AccountLimiterTest {

    private static final double RATE = 10_000;
    private static final double BURST = 10_000;

    private final ServingAccount account =
            new ServingAccount("acme", OptionalInt.empty(), RATE, BURST, LimitUnit.TOKENS, 200, Set.of());

    private long now;

    @Test
    void startsEmptySoThatARestartBringsNoBurst() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> 1);
        assertThat(limiter.charge(account, 100)).isPresent();
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 100)).isEmpty();
    }

    @Test
    void takesARequestThatIsLargerThanThisHostsPartAndPaysForIt() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> 0.1);
        limiter.charge(account, 1);
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 5_000)).isEmpty();
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 1)).isPresent();
        now += 4_000_000_000L;
        assertThat(limiter.charge(account, 1)).isEmpty();
    }

    @Test
    void givesBackWhatDidNotRun() {
        AccountLimiter limiter = new AccountLimiter(() -> now, name -> 1);
        limiter.charge(account, 1);
        now += 1_000_000_000L;
        assertThat(limiter.charge(account, 9_999)).isEmpty();
        assertThat(limiter.charge(account, 9_999)).isPresent();
        limiter.refund(account, 9_999);
        assertThat(limiter.charge(account, 9_999)).isEmpty();
    }

    /** Replays an account at several times its rate on four hosts of which one gets most of the requests. */
    @Test
    void keepsAllHostsTogetherWithinRateAndBurstInEachWindow() {
        double[] shares = {0.7, 0.1, 0.1, 0.1};
        List<AccountLimiter> hosts = new ArrayList<>();
        for (double share : shares) {
            hosts.add(new AccountLimiter(() -> now, name -> share));
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
}
