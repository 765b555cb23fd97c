package org.toucanlane.coordination.share;

import java.util.ArrayList;
import java.util.List;

/** What was admitted when, and whether it stays within a rate and a burst over every window. Not thread-safe. */
final class AdmissionHistory {

    private final List<Admitted> admissions = new ArrayList<>();

    /** Notes an admission and returns its number. */
    int add(long nanos, long tokens) {
        admissions.add(new Admitted(nanos, tokens));
        return admissions.size() - 1;
    }

    /** Notes that an admission was made at another time than noted first. */
    void setTime(int admission, long nanos) {
        admissions.set(admission, new Admitted(nanos, admissions.get(admission).tokens));
    }

    /** Notes that part of an admission was given back. */
    void refund(int admission, long tokens) {
        Admitted before = admissions.get(admission);
        admissions.set(admission, new Admitted(before.nanos, before.tokens - tokens));
    }

    /** Returns by how many units the worst window exceeds the limit, zero or less if none does. */
    long maxExcess(ShareLimit limit) {
        List<Admitted> ordered = admissions.stream()
                .sorted((a, b) -> Long.compare(a.nanos, b.nanos))
                .toList();
        long worst = Long.MIN_VALUE;
        for (int from = 0; from < ordered.size(); from++) {
            long sum = 0;
            for (int to = from; to < ordered.size(); to++) {
                sum += ordered.get(to).tokens;
                long window = ordered.get(to).nanos - ordered.get(from).nanos;
                long allowed = TokenAmounts.toUnits(limit.burstTokens()) + limit.tokensPerSecond() * window;
                worst = Math.max(worst, TokenAmounts.toUnits(sum) - allowed);
            }
        }
        return worst;
    }

    private record Admitted(long nanos, long tokens) {}
}
