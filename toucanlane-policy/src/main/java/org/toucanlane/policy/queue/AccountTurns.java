package org.toucanlane.policy.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides places between the accounts whose requests of one rank wait, by start-time fair queueing (Goyal et al., 1996).
 *
 * <p>Load pattern: one account sends several times as many requests as usual and would fill the queue. Each request
 * advances its account's counter by its size over the account's weight, and goes in the turn in which the counter stood
 * before. A busy account's requests thus go in ever later turns, while those of an account that was idle go in the
 * current one. Within a turn accounts are alike, so that the time left decides.
 *
 * <p>Invariant: no counter is behind the current turn when it is used, so an account gains no credit while idle. Not
 * thread-safe.
 */
final class AccountTurns {

    /** Length of a turn, in seconds at the rate that an account has bought. */
    private static final double TURN_SECONDS = 0.05;

    private final Map<String, Double> counters = new HashMap<>();
    private double current;

    /** Returns the turn of {@code request} if it were added now. */
    long turnOf(WaitingRequest request) {
        return (long) (counter(request) / TURN_SECONDS);
    }

    /** Adds a request and returns its turn. */
    long add(WaitingRequest request) {
        long turn = turnOf(request);
        counters.put(request.account(), counter(request) + cost(request));
        return turn;
    }

    /** Takes back the cost of a request that was not sent. */
    void refund(WaitingRequest request) {
        counters.put(request.account(), counter(request) - cost(request));
    }

    /** Records that a request of {@code turn} was sent. */
    void advanceTo(long turn) {
        current = Math.max(current, turn * TURN_SECONDS);
    }

    private double counter(WaitingRequest request) {
        return Math.max(current, counters.getOrDefault(request.account(), current));
    }

    private static double cost(WaitingRequest request) {
        return request.weight() == 0 ? 0 : request.size() / request.weight();
    }
}
