package org.toucanlane.coordination.share;

import java.util.ArrayList;
import java.util.List;

/**
 * A simple reference implementation of a token bucket: it keeps every charge, reduces the amount of a refunded charge,
 * and recomputes its level from the initial state on each query.
 */
final class ReferenceBucket {

    private final ShareLimit limit;
    private final List<long[]> charges = new ArrayList<>();

    ReferenceBucket(ShareLimit limit) {
        this.limit = limit;
    }

    int charge(long nanos, long tokens) {
        charges.add(new long[] {nanos, TokenAmounts.toUnits(tokens)});
        return charges.size() - 1;
    }

    void refund(int charge, long tokens) {
        charges.get(charge)[1] -= TokenAmounts.toUnits(tokens);
    }

    long levelUnits(long nanos) {
        long full = TokenAmounts.toUnits(limit.burstTokens());
        long level = full;
        long updatedAt = 0;
        for (long[] charge : charges) {
            level = Math.min(full, level + limit.tokensPerSecond() * (charge[0] - updatedAt));
            updatedAt = charge[0];
            level -= charge[1];
        }
        return Math.min(full, level + limit.tokensPerSecond() * (nanos - updatedAt));
    }
}
