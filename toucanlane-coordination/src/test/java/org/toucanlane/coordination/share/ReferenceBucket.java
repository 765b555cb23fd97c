package org.toucanlane.coordination.share;

import java.util.ArrayList;
import java.util.List;

/**
 * A token bucket without any cleverness: it keeps every charge, changes the amount of one that is given back, and works
 * out its level from the beginning each time it is asked.
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
        long at = 0;
        for (long[] charge : charges) {
            level = Math.min(full, level + limit.tokensPerSecond() * (charge[0] - at));
            at = charge[0];
            level -= charge[1];
        }
        return Math.min(full, level + limit.tokensPerSecond() * (nanos - at));
    }
}
