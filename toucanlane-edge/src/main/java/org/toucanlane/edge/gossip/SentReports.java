package org.toucanlane.edge.gossip;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.limit.AccountUsage;

/**
 * The latest reports sent by this host, so that its own contribution can be subtracted from aggregates.
 *
 * <p>Bounded. Not thread-safe: confined to one event loop.
 */
final class SentReports {

    /** Number of rounds retained; covers several round trips between hosts of a region. */
    private static final int MAX_ROUNDS = 24;

    private final Deque<SentReport> sent = new ArrayDeque<>();

    /** Adds the report of a round and evicts the oldest one beyond the limit. */
    void add(SentReport report) {
        sent.addFirst(report);
        if (sent.size() > MAX_ROUNDS) {
            sent.removeLast();
        }
    }

    /** Returns the report of {@code round}, or empty if it is no longer retained. */
    Optional<SentReport> findByRound(long round) {
        return sent.stream().filter(report -> report.round() == round).findFirst();
    }

    /** Removes all reports, so that later acknowledgements of them are ignored. */
    void clear() {
        sent.clear();
    }

    /**
     * The report of one round.
     *
     * @param round number of the round
     * @param sentAt monotonic time no later than the sending
     * @param endpoints load of this host, by endpoint
     * @param accountUsage demand and bucket levels of this host, by account
     */
    record SentReport(
            long round, long sentAt, Map<Integer, EndpointUsage> endpoints, Map<String, AccountUsage> accountUsage) {}
}
