package org.toucanlane.coordination.share;

import java.util.ArrayList;
import java.util.List;

/** Records admissions and checks every window against a rate and a burst. Not thread-safe. */
final class AdmissionHistory {

    private final List<Admitted> admissions = new ArrayList<>();

    /** Adds an admission and returns its index. */
    int add(long nanos, long tokens) {
        admissions.add(new Admitted(nanos, tokens));
        return admissions.size() - 1;
    }

    /** Changes the time of an admission. */
    void setTime(int admission, long nanos) {
        admissions.set(admission, new Admitted(nanos, admissions.get(admission).tokens));
    }

    /** Subtracts a refund from an admission. */
    void refund(int admission, long tokens) {
        Admitted before = admissions.get(admission);
        admissions.set(admission, new Admitted(before.nanos, before.tokens - tokens));
    }

    /** Returns the largest excess over the limit in any window, in units; zero or less if no window exceeds it. */
    long maxExcess(ShareLimit limit) {
        List<Admitted> ordered = admissions.stream()
                .sorted((a, b) -> Long.compare(a.nanos, b.nanos))
                .toList();
        long max = Long.MIN_VALUE;
        for (int from = 0; from < ordered.size(); from++) {
            long sum = 0;
            for (int to = from; to < ordered.size(); to++) {
                sum += ordered.get(to).tokens;
                long window = ordered.get(to).nanos - ordered.get(from).nanos;
                long allowed = TokenAmounts.toUnits(limit.burstTokens()) + limit.tokensPerSecond() * window;
                max = Math.max(max, TokenAmounts.toUnits(sum) - allowed);
            }
        }
        return max;
    }

    private record Admitted(long nanos, long tokens) {}
}
