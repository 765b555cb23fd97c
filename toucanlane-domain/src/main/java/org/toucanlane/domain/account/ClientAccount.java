package org.toucanlane.domain.account;

import java.util.Map;
import java.util.Set;

/**
 * A customer organisation with its rate limit and residency.
 *
 * <p>Invariant: {@code allowedDataCentres} is never empty, and requests of the account are executed in no other data
 * centre.
 *
 * @param name unique name
 * @param tokensPerSecond refill rate of the token bucket over the whole fleet
 * @param burstTokens capacity of the token bucket
 * @param weight weight relative to other accounts in fair queueing
 * @param shares relative share of its limit by data centre
 * @param allowedDataCentres data centres in which its requests may be executed
 */
public record ClientAccount(
        String name,
        long tokensPerSecond,
        long burstTokens,
        int weight,
        Map<String, Integer> shares,
        Set<String> allowedDataCentres) {

    /** Creates an account. */
    public ClientAccount {
        shares = Map.copyOf(shares);
        allowedDataCentres = Set.copyOf(allowedDataCentres);
    }
}
