package org.toucanlane.policy.offer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A host's part of the offer of one region for one service.
 *
 * <p>Load pattern: many hosts that each see another region with a delay of a fraction of a second, in which they send
 * more than it can take. A host spends its part as it sends. A new report replaces the offer, but requests that the report
 * can't include yet stay deducted from it. Without a new report the offer expires.
 *
 * <p>Invariant: the requests sent since the state that a report describes don't exceed the places of the part, and their
 * tokens don't exceed those of the part by more than half of the last request. Not thread-safe.
 */
public final class HeldOffer {

    /** Age at which an offer expires if no newer report has arrived. */
    public static final Duration MAX_AGE = Duration.ofMillis(2_000);

    /**
     * Time after which a request that was sent is included in the reports of the other region: it travels there, is
     * reported to a relay and aggregated by it, and the report travels back.
     */
    static final Duration SETTLE_TIME = Duration.ofMillis(400);

    /** Longest time for which a refusal withdraws an offer; a newer report tells more by then. */
    private static final Duration MAX_WITHDRAWAL = MAX_AGE;

    private final Deque<Sent> sent = new ArrayDeque<>();
    private ServiceOffer part = ServiceOffer.none(ServiceOffer.Demand.NONE);
    private long sentTokens;
    private long reportedAt;
    private boolean reported;
    private long withdrawnUntil;
    private boolean withdrawn;

    /**
     * Replaces the offer if the report is newer than the last one.
     *
     * @param own this host's part
     * @param at monotonic time of the report in nanoseconds
     */
    public void update(ServiceOffer own, long at) {
        if (!reported || at - reportedAt > 0) {
            part = own;
            reportedAt = at;
            reported = true;
        }
    }

    /** Returns the monotonic time of the report that made the current offer, or {@code otherwise} if there is none. */
    public long reportedAt(long otherwise) {
        return reported ? reportedAt : otherwise;
    }

    /**
     * Returns whether a request that adds {@code newTokens} prompt tokens is within the rest of the part. At least half
     * of its tokens have to be: over many hosts, what is exceeded and what is left over cancel out.
     */
    public boolean covers(long newTokens, long now) {
        if (!isValid(now)) {
            return false;
        }
        removeSettled();
        return sent.size() < part.places() && sentTokens + newTokens / 2 <= part.tokens();
    }

    /** Returns the number of places that are left. */
    public int placesLeft(long now) {
        removeSettled();
        return isValid(now) ? Math.max(0, part.places() - sent.size()) : 0;
    }

    private boolean isValid(long now) {
        return reported
                && now - reportedAt <= MAX_AGE.toNanos()
                && withdrawnFor(now).isZero();
    }

    /** Returns for how long the offer is withdrawn, or zero if it isn't. */
    public Duration withdrawnFor(long now) {
        return withdrawn ? Duration.ofNanos(Math.max(0, withdrawnUntil - now)) : Duration.ZERO;
    }

    private void removeSettled() {
        if (reported) {
            removeSentUntil(reportedAt - SETTLE_TIME.toNanos());
        }
    }

    private void removeSentUntil(long time) {
        while (!sent.isEmpty() && sent.peekFirst().at() - time <= 0) {
            sentTokens -= sent.removeFirst().tokens();
        }
    }

    /** Deducts a request that was sent to the region. */
    public void spend(long newTokens, long now) {
        removeSentUntil(now - MAX_AGE.toNanos() - SETTLE_TIME.toNanos());
        sent.addLast(new Sent(now, newTokens));
        sentTokens += newTokens;
    }

    /** Holds no offer for {@code time}, since the region has refused a request and asked to come back after it. */
    public void withdraw(Duration time, long now) {
        long nanos = Math.min(time.toNanos(), MAX_WITHDRAWAL.toNanos());
        if (withdrawnFor(now).isZero() || now + nanos - withdrawnUntil > 0) {
            withdrawnUntil = now + nanos;
            withdrawn = true;
        }
    }

    private record Sent(long at, long tokens) {}
}
