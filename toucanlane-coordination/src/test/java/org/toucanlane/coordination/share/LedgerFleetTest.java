package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.hash.HashedNodes;

/** Compares the total admitted by eight hosts in three data centres with one token bucket for the whole fleet. */
class LedgerFleetTest {

    private static final String ACCOUNT = "account";
    private static final ShareLimit LIMIT = new ShareLimit(1000, 4000);
    private static final Map<String, List<String>> HOSTS =
            Map.of("a", List.of("a1", "a2", "a3"), "b", List.of("b1", "b2", "b3"), "c", List.of("c1", "c2"));
    private static final Map<String, HashedNodes> HASHED = Map.of(
            "a", HashedNodes.of(HOSTS.get("a")),
            "b", HashedNodes.of(HOSTS.get("b")),
            "c", HashedNodes.of(HOSTS.get("c")));
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final Map<String, ShareLedger> ledgers = new HashMap<>();
    private final Random random = new Random();
    private long now;
    private double lossRate;

    private void startFleet(long seed, double loss) {
        random.setSeed(seed);
        lossRate = loss;
        now = 0;
        ledgers.clear();
        HOSTS.forEach((dataCentre, hosts) -> hosts.forEach(host -> ledgers.put(host, newLedger(host, dataCentre, 1))));
        now = Duration.ofSeconds(20).toNanos();
    }

    private ShareLedger newLedger(String host, String dataCentre, long incarnation) {
        ShareLedger ledger = ShareLedger.builder()
                .self(host, dataCentre, incarnation)
                .clock(() -> now)
                .transport(new LossyNetwork())
                .build();
        List<HostShare> shares = ShareSplit.of(ACCOUNT, LIMIT, Map.of("a", 1, "b", 1, "c", 1), HASHED);
        ledger.apply(ShareTable.of(1, Map.of(ACCOUNT, shares), Map.of(), Set.of()), Map.of());
        return ledger;
    }

    @Property(tries = 200, seed = "20261204")
    void fleetStaysWithinLimitDespiteLossAndRestarts(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        startFleet(seed, 0.2);
        AdmissionHistory record = new AdmissionHistory();
        List<String> names = ledgers.keySet().stream().sorted().toList();
        for (int step = 0; step < 150; step++) {
            now += random.nextInt(200) * MILLI;
            String host = names.get(random.nextInt(names.size()));
            if (random.nextInt(20) == 0) {
                ledgers.put(host, newLedger(host, host.substring(0, 1), step + 2L));
            }
            long tokens = 1 + random.nextInt(1500);
            try {
                Charge charge = ledgers.get(host).admit(ACCOUNT, tokens);
                int index = record.add(now, tokens);
                if (random.nextBoolean()) {
                    long used = random.nextInt((int) tokens);
                    charge.settle(used);
                    record.refund(index, tokens - used);
                }
            } catch (InsufficientTokensException expected) {
                assertThat(expected.retryAfter()).isPositive();
            }
        }
        assertThat(record.maxExcess(LIMIT)).isLessThanOrEqualTo(0);
    }

    @Test
    void demandWithinRateAtOneHostIsRarelyRefused() {
        startFleet(7, 0);
        int refused = 0;
        int attempts = 2000;
        for (int i = 0; i < attempts; i++) {
            now += 200 * MILLI;
            refused += refused("a1", 190) ? 1 : 0;
        }
        assertThat(refused / (double) attempts)
                .as("fraction refused within the rate")
                .isLessThanOrEqualTo(0.005);
    }

    /** Negative control: a static division without loans refuses most of the same demand. */
    @Test
    void staticDivisionRefusesSameDemand() {
        startFleet(7, 1);
        long refused = IntStream.range(0, 500)
                .filter(i -> {
                    now += 200 * MILLI;
                    return refused("a1", 190);
                })
                .count();
        assertThat(refused).isGreaterThan(100);
    }

    private boolean refused(String host, long tokens) {
        try {
            ledgers.get(host).admit(ACCOUNT, tokens);
            return false;
        } catch (InsufficientTokensException e) {
            return true;
        }
    }

    /** Delivers messages immediately, or loses a loan request, its reply or a return. */
    private final class LossyNetwork implements LoanTransport {

        @Override
        public Optional<LoanGrant> borrow(String lender, String loanId, String account, long tokens, Duration wait) {
            if (random.nextDouble() < lossRate) {
                return Optional.empty();
            }
            LoanGrant grant = ledgers.get(lender).lend(loanId, account, tokens);
            return random.nextDouble() < lossRate ? Optional.empty() : Optional.of(grant);
        }

        @Override
        public void returnUnused(String lender, String loanId, String account, long unusedTokens) {
            if (random.nextDouble() >= lossRate) {
                ledgers.get(lender).acceptReturn(loanId, account, unusedTokens);
            }
        }

        @Override
        public boolean isReachable(String host) {
            return true;
        }
    }
}
