package org.toucanlane.coordination.share;

import com.google.common.base.Preconditions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.toucanlane.coordination.hash.HashedNodes;

/**
 * Divides an account's limit into one share per data centre, each held by one host there.
 *
 * <p>Invariant: the shares sum to at most the account's limit, in rate and in burst. Stateless and thread-safe.
 */
public final class ShareSplit {

    private ShareSplit() {}

    /**
     * Returns the holders of {@code account}, largest share first.
     *
     * @param weights relative weight of each data centre; those without a positive weight or without hosts get no share
     * @param hosts hosts by data centre
     */
    public static List<HostShare> of(
            String account, ShareLimit accountLimit, Map<String, Integer> weights, Map<String, HashedNodes> hosts) {
        Preconditions.checkNotNull(accountLimit, "accountLimit");
        Map<String, Integer> effective = new TreeMap<>();
        weights.forEach((dataCentre, weight) -> {
            if (weight > 0
                    && hosts.containsKey(dataCentre)
                    && !hosts.get(dataCentre).isEmpty()) {
                effective.put(dataCentre, weight);
            }
        });
        long total = effective.values().stream().mapToLong(Integer::longValue).sum();
        List<HostShare> shares = new ArrayList<>();
        effective.forEach((dataCentre, weight) -> {
            String holder = hosts.get(dataCentre).pick(account).orElseThrow();
            shares.add(new HostShare(holder, dataCentre, weightedPart(accountLimit, weight, total)));
        });
        shares.sort((a, b) -> Long.compare(b.limit().burstTokens(), a.limit().burstTokens()));
        return addRemainder(accountLimit, shares);
    }

    private static ShareLimit weightedPart(ShareLimit accountLimit, long weight, long total) {
        return new ShareLimit(
                scaled(accountLimit.tokensPerSecond(), weight, total),
                scaled(accountLimit.burstTokens(), weight, total));
    }

    /** Returns {@code amount * weight / total}, rounded down, without overflow. */
    private static long scaled(long amount, long weight, long total) {
        return amount / total * weight + amount % total * weight / total;
    }

    private static List<HostShare> addRemainder(ShareLimit accountLimit, List<HostShare> shares) {
        if (shares.isEmpty()) {
            return List.of();
        }
        long rate = shares.stream().mapToLong(s -> s.limit().tokensPerSecond()).sum();
        long burst = shares.stream().mapToLong(s -> s.limit().burstTokens()).sum();
        HostShare first = shares.get(0);
        ShareLimit limit = new ShareLimit(
                first.limit().tokensPerSecond() + accountLimit.tokensPerSecond() - rate,
                first.limit().burstTokens() + accountLimit.burstTokens() - burst);
        shares.set(0, new HostShare(first.host(), first.dataCentre(), limit));
        return List.copyOf(shares);
    }

    /**
     * Returns whether capacity moves between hosts from one division to the other, which is the case if some host gains
     * and another loses. Otherwise any mixture of the two divisions stays within the larger one.
     */
    public static boolean isMove(Collection<HostShare> before, Collection<HostShare> after) {
        Set<String> hosts = Stream.concat(before.stream(), after.stream())
                .map(HostShare::host)
                .collect(Collectors.toSet());
        boolean gains = hosts.stream().anyMatch(host -> !heldBy(host, after).isWithin(heldBy(host, before)));
        boolean loses = hosts.stream().anyMatch(host -> !heldBy(host, before).isWithin(heldBy(host, after)));
        return gains && loses;
    }

    /** Returns the sum of the shares that {@code host} holds. */
    public static ShareLimit heldBy(String host, Collection<HostShare> shares) {
        return shares.stream()
                .filter(share -> Objects.equals(share.host(), host))
                .map(HostShare::limit)
                .reduce(
                        ShareLimit.NONE,
                        (a, b) -> new ShareLimit(
                                a.tokensPerSecond() + b.tokensPerSecond(), a.burstTokens() + b.burstTokens()));
    }
}
