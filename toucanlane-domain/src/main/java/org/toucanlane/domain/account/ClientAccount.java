package org.toucanlane.domain.account;

import java.util.Map;
import java.util.Set;

/**
 * An organisation that buys service.
 *
 * <p>Invariant: {@code allowedDataCentres} is never empty; a request of the account runs nowhere else.
 *
 * @param name unique name
 * @param tokensPerSecond tokens that accrue a second over the whole fleet
 * @param burstTokens tokens that it may hold
 * @param weight its weight in queues against other accounts
 * @param shares relative part of its limit held in each data centre
 * @param allowedDataCentres where its requests may run
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
