package org.toucanlane.coordination.share;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.toucanlane.coordination.hash.HashedNodes;

/** Tests the division of a limit and the limits that hosts use while shares move between divisions. */
class ShareMovePropertyTest {

    private static final String ACCOUNT = "account";
    private static final ShareLimit TOTAL = new ShareLimit(1001, 5003);
    private static final int HOSTS = 6;

    @Property(tries = 500, seed = "20261204")
    void partsNeverExceedTotalDuringMove(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Random random = new Random(seed);
        assertIsWithinTotal(sumInUse(random, true));
    }

    /** Negative control: hosts that use a share without waiting for its previous holder exceed the total limit. */
    @Test
    void detectsHostsThatDoNotWaitForConfirmation() {
        boolean found = IntStream.range(0, 500)
                .mapToObj(seed -> sumInUse(new Random(seed), false))
                .anyMatch(sum -> !sum.isWithin(TOTAL));
        assertThat(found).isTrue();
    }

    @Test
    void shareOfRemovedHostMovesWithoutConfirmation() {
        List<HostShare> before = List.of(new HostShare("removed", "d", TOTAL));
        List<HostShare> after = List.of(new HostShare("new", "d", TOTAL));
        ShareTable withOldHost = table(before, after, Set.of("removed", "new"));
        ShareTable withoutOldHost = table(before, after, Set.of("new"));
        assertThat(withOldHost.limitOf(ACCOUNT, "new", Map.of())).isEqualTo(ShareLimit.NONE);
        assertThat(withOldHost.requiredConfirmations("new")).containsExactly("removed");
        assertThat(withOldHost.limitOf(ACCOUNT, "new", Map.of("removed", 2L))).isEqualTo(TOTAL);
        assertThat(withoutOldHost.limitOf(ACCOUNT, "new", Map.of())).isEqualTo(TOTAL);
        assertThat(withoutOldHost.requiredConfirmations("new")).isEmpty();
    }

    private static ShareTable table(List<HostShare> before, List<HostShare> after, Set<String> members) {
        return ShareTable.of(2, Map.of(ACCOUNT, after), Map.of(ACCOUNT, before), members);
    }

    @Test
    void partsSumToTotal() {
        List<HostShare> shares = ShareSplit.of(
                ACCOUNT,
                TOTAL,
                Map.of("a", 3, "b", 2, "c", 2, "empty", 5, "none", 0),
                hashed(Map.of(
                        "a", List.of("a1", "a2"), "b", List.of("b1"), "c", List.of("c1"), "none", List.of("n1"))));
        assertThat(shares).extracting(HostShare::dataCentre).containsExactlyInAnyOrder("a", "b", "c");
        ShareLimit sum = shares.stream().map(HostShare::limit).reduce(ShareLimit.NONE, ShareMovePropertyTest::plus);
        assertThat(sum).isEqualTo(TOTAL);
    }

    private static void assertIsWithinTotal(ShareLimit sum) {
        assertThat(sum.isWithin(TOTAL)).as("sum of limits in use: %s", sum).isTrue();
    }

    private static ShareLimit sumInUse(Random random, boolean waits) {
        List<HostShare> before = division(random);
        List<HostShare> after = division(random);
        Set<String> members =
                Set.copyOf(IntStream.range(0, HOSTS).mapToObj(i -> "h" + i).toList());
        ShareTable old = ShareTable.of(1, Map.of(ACCOUNT, before), Map.of(), members);
        ShareTable next = ShareTable.of(2, Map.of(ACCOUNT, after), Map.of(ACCOUNT, before), members);
        Map<String, Long> applied = new HashMap<>();
        members.forEach(host -> applied.put(host, 1L + random.nextInt(2)));
        ShareLimit sum = ShareLimit.NONE;
        for (String host : members) {
            Map<String, Long> known = new HashMap<>();
            applied.forEach((other, version) -> {
                if (random.nextBoolean()) {
                    known.put(other, version);
                }
            });
            if (!waits) {
                members.forEach(other -> known.put(other, 2L));
            }
            ShareTable inForce = applied.get(host) == 2 ? next : old;
            sum = plus(sum, inForce.limitOf(ACCOUNT, host, known));
        }
        return sum;
    }

    private static List<HostShare> division(Random random) {
        Map<String, List<String>> hosts = new HashMap<>();
        IntStream.range(0, HOSTS)
                .forEach(i -> hosts.computeIfAbsent("d" + i % 3, key -> new ArrayList<>())
                        .add("h" + i));
        hosts.values().forEach(list -> list.removeIf(host -> list.size() > 1 && random.nextBoolean()));
        Map<String, Integer> weights = new HashMap<>();
        hosts.keySet().forEach(dataCentre -> weights.put(dataCentre, random.nextInt(4)));
        return ShareSplit.of(ACCOUNT, TOTAL, weights, hashed(hosts));
    }

    private static Map<String, HashedNodes> hashed(Map<String, List<String>> hosts) {
        Map<String, HashedNodes> hashed = new HashMap<>();
        hosts.forEach((dataCentre, names) -> hashed.put(dataCentre, HashedNodes.of(names)));
        return hashed;
    }

    private static ShareLimit plus(ShareLimit a, ShareLimit b) {
        return new ShareLimit(a.tokensPerSecond() + b.tokensPerSecond(), a.burstTokens() + b.burstTokens());
    }
}
