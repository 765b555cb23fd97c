package org.toucanlane.edge.gossip;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.limit.AccountUsage;

/**
 * What this host has told lately, so that it can be taken out of sums in which it was counted.
 *
 * <p>Bounded. Used on one event loop only.
 */
final class SentReports {

    /** Rounds that are kept: several round trips between hosts of a region. */
    private static final int MAX_ROUNDS = 24;

    private final Deque<SentReport> sent = new ArrayDeque<>();

    /** Notes what was told in a round. */
    void add(SentReport report) {
        sent.addFirst(report);
        if (sent.size() > MAX_ROUNDS) {
            sent.removeLast();
        }
    }

    /** Returns what was told in {@code round}, or empty if that is not known any more. */
    Optional<SentReport> findByRound(long round) {
        return sent.stream().filter(report -> report.round() == round).findFirst();
    }

    /** Forgets everything, so that no later answer to it counts. */
    void clear() {
        sent.clear();
    }

    /**
     * What was told in one round.
     *
     * @param round its number
     * @param sentAt a time before it was sent, by the monotonic clock
     * @param endpoints what this host had running, by endpoint
     * @param accountUsage what it had used and held of accounts' limits, by account
     */
    record SentReport(
            long round, long sentAt, Map<Integer, EndpointUsage> endpoints, Map<String, AccountUsage> accountUsage) {}
}
