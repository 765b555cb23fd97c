package org.toucanlane.policy.queue;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The requests of one service that wait at a host until an endpoint has room.
 *
 * <p>Load pattern: an urgent kind of request and a patient one, whose objective is several times as long, share
 * endpoints that are full for seconds. A patient request that is refused comes back to endpoints that are still full;
 * one that waits uses what the urgent requests leave, within its own objective.
 *
 * <p>Requests that can still be on time go before those that can't, then the more urgent, then those whose account has
 * had the smaller part of its share since requests began to wait ({@link AccountTurns}), then those with less time left
 * to their objective, then the smaller ones. A request waits only while its response is expected to begin within
 * its objective. It is held past an eighth of its objective only if a place is then expected before its retry would
 * come, and not past that time. One that turns late while it waits goes behind all that can be on time, with the same
 * bound.
 *
 * <p>Invariants: at most {@code maxWaiting} requests wait; every request leaves exactly once, through {@link
 * #recordSent}, {@link #remove}, {@link #expire} or {@link #clear}. Times are {@link System#nanoTime()} values. Not
 * thread-safe.
 *
 * @param <T> what the caller keeps for a waiting request
 */
public final class WaitingQueue<T> {

    /** Time constant of the measured rate; bursts last for seconds, and a stalled endpoint is noticed within one. */
    private static final Duration RATE_TIME_CONSTANT = Duration.ofSeconds(1);

    private static final Comparator<Ticket<?>> ORDER = Comparator.comparing(ticket -> ticket.position);

    private final int maxWaiting;
    private final List<Ticket<T>> tickets = new ArrayList<>();
    private final Map<Integer, AccountTurns> turnsByRank = new HashMap<>();
    private DecayingRate freedPlaces = new DecayingRate(RATE_TIME_CONSTANT, 0);
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param maxWaiting maximum number of waiting requests
     */
    public WaitingQueue(int maxWaiting) {
        Preconditions.checkArgument(maxWaiting > 0, "maxWaiting must be positive: %s", maxWaiting);
        this.maxWaiting = maxWaiting;
    }

    /**
     * Records that a request of the service has ended at an endpoint, which leaves its place to another. Counts only while
     * requests wait, since the places are not all in use otherwise.
     */
    public void recordFreedPlace(long now) {
        if (!tickets.isEmpty()) {
            freedPlaces.record(now);
        }
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return tickets.size();
    }

    /** Returns whether a request waits that goes before {@code request}, which arrives now. */
    public boolean hasRequestBefore(WaitingRequest request) {
        if (tickets.isEmpty()) {
            return false;
        }
        Position position = Position.of(request, turns(request).turnOf(request), nextSequence);
        return tickets.get(0).position.compareTo(position) < 0;
    }

    /** Returns whether a request still waits. */
    public boolean contains(Ticket<T> ticket) {
        return Collections.binarySearch(tickets, ticket, ORDER) >= 0;
    }

    /**
     * Adds a request, unless it isn't expected to be on time or the queue is full of requests that go before it.
     *
     * @param estimate what placement expects
     * @return the request's ticket, or empty if it may not wait
     */
    public Optional<Ticket<T>> offer(WaitingRequest request, T item, PlaceEstimate estimate, long now) {
        if (tickets.isEmpty()) {
            freedPlaces = new DecayingRate(RATE_TIME_CONSTANT, now);
        }
        AccountTurns turns = turns(request);
        Ticket<T> ticket = new Ticket<>(request, item, Position.of(request, turns.turnOf(request), nextSequence++));
        ticket.update(estimate, now);
        int ahead = -Collections.binarySearch(tickets, ticket, ORDER) - 1;
        long begin = expectedPlaceNanos(ticket, ahead, freedPlaces.perNano(now), now);
        if (ahead >= maxWaiting || !isOnTime(ticket, begin) || !isHeld(ticket, begin, now)) {
            return Optional.empty();
        }
        turns.add(request);
        tickets.add(ahead, ticket);
        return Optional.of(ticket);
    }

    /** Replaces the estimate for a waiting request by a newer one. */
    public void update(Ticket<T> ticket, PlaceEstimate estimate, long now) {
        ticket.update(estimate, now);
    }

    /** Returns the first requests in the order in which they are to be sent, at most {@code count}. */
    public List<Ticket<T>> first(int count) {
        return List.copyOf(tickets.subList(0, Math.min(count, tickets.size())));
    }

    /** Removes a request that was sent; returns false if it no longer waits. */
    public boolean recordSent(Ticket<T> ticket) {
        turns(ticket.request).advanceTo(ticket.position.turn());
        return removeTicket(ticket);
    }

    /** Removes a request that is not to be sent; returns false if it no longer waits. */
    public boolean remove(Ticket<T> ticket) {
        if (!contains(ticket)) {
            return false;
        }
        turns(ticket.request).refund(ticket.request);
        return removeTicket(ticket);
    }

    private boolean removeTicket(Ticket<T> ticket) {
        int index = Collections.binarySearch(tickets, ticket, ORDER);
        if (index < 0) {
            return false;
        }
        tickets.remove(index);
        forgetTurnsIfEmpty();
        return true;
    }

    private AccountTurns turns(WaitingRequest request) {
        return turnsByRank.computeIfAbsent(request.rank(), rank -> new AccountTurns());
    }

    private void forgetTurnsIfEmpty() {
        if (tickets.isEmpty()) {
            turnsByRank.clear();
        }
    }

    /**
     * Removes the requests that may not wait any longer, and those beyond the bound.
     *
     * @return the removed requests, which are to be refused
     */
    public List<Departure<T>> expire(long now) {
        double rate = freedPlaces.perNano(now);
        List<Departure<T>> departures = new ArrayList<>();
        List<Ticket<T>> late = new ArrayList<>();
        List<Ticket<T>> kept = new ArrayList<>(tickets.size());
        for (Ticket<T> ticket : tickets) {
            long place = expectedPlaceNanos(ticket, kept.size(), rate, now);
            Optional<Reason> reason = kept.size() >= maxWaiting ? Optional.of(Reason.FULL) : reason(ticket, place, now);
            if (reason.isPresent()) {
                departures.add(new Departure<>(ticket.item, reason.get(), ticket.retryAfter));
                turns(ticket.request).refund(ticket.request);
            } else if (!ticket.position.late() && !isOnTime(ticket, now)) {
                late.add(ticket);
            } else {
                kept.add(ticket);
            }
        }
        if (!departures.isEmpty() || !late.isEmpty()) {
            tickets.clear();
            tickets.addAll(kept);
            late.forEach(ticket -> moveToLate(ticket, now));
            forgetTurnsIfEmpty();
        }
        return departures;
    }

    /** Removes all requests and returns them in order. */
    public List<T> clear() {
        List<T> items = tickets.stream().map(Ticket::item).toList();
        tickets.clear();
        forgetTurnsIfEmpty();
        return items;
    }

    private Optional<Reason> reason(Ticket<T> ticket, long place, long now) {
        if (place >= ticket.request.deadlineNanos()) {
            return Optional.of(Reason.NOT_IN_TIME);
        }
        if (ticket.position.late()) {
            return now > ticket.heldUntilNanos ? Optional.of(Reason.NOT_IN_TIME) : Optional.empty();
        }
        boolean beforeRetry = place - now < ticket.retryAfter.toNanos();
        if (!isOnTime(ticket, place) && !beforeRetry) {
            return Optional.of(Reason.NOT_IN_TIME);
        }
        if (now > ticket.heldUntilNanos && beforeRetry && !ticket.extended) {
            ticket.extended = true;
            ticket.heldUntilNanos = now + ticket.retryAfter.toNanos();
        }
        return now <= ticket.heldUntilNanos ? Optional.empty() : Optional.of(Reason.HELD);
    }

    private void moveToLate(Ticket<T> ticket, long now) {
        ticket.position = ticket.position.asLate();
        if (!ticket.extended) {
            ticket.extended = true;
            ticket.heldUntilNanos = now + ticket.retryAfter.toNanos();
        }
        tickets.add(-Collections.binarySearch(tickets, ticket, ORDER) - 1, ticket);
    }

    private static boolean isOnTime(Ticket<?> ticket, long place) {
        return place <= ticket.objectiveNanos - ticket.untilResponseNanos && place < ticket.request.deadlineNanos();
    }

    private static boolean isHeld(Ticket<?> ticket, long place, long now) {
        return now <= ticket.heldUntilNanos || place - now < ticket.retryAfter.toNanos();
    }

    /** Returns when a request is expected to get a place, if {@code ahead} others get one first. */
    private static long expectedPlaceNanos(Ticket<?> ticket, int ahead, double ratePerNano, long now) {
        long turn = ratePerNano == 0 ? now : now + (long) Math.min(ahead / ratePerNano, Long.MAX_VALUE / 4);
        return Math.max(turn, ticket.placeNanos);
    }

    /**
     * A request in the queue.
     *
     * @param <T> what the caller keeps for it
     */
    public static final class Ticket<T> {
        private final WaitingRequest request;
        private final T item;
        private final long objectiveNanos;
        private long heldUntilNanos;
        private Position position;

        /** Whether {@code heldUntilNanos} has been moved to the time of the retry, which happens once. */
        private boolean extended;

        private long placeNanos;
        private long untilResponseNanos;
        private Duration retryAfter = Duration.ZERO;

        private Ticket(WaitingRequest request, T item, Position position) {
            this.request = request;
            this.item = item;
            this.position = position;
            this.objectiveNanos = request.objectiveNanos();
            this.heldUntilNanos = request.heldUntilNanos();
        }

        private void update(PlaceEstimate estimate, long now) {
            placeNanos = now + estimate.untilPlace().toNanos();
            untilResponseNanos = estimate.untilResponse().toNanos();
            retryAfter = estimate.retryAfter();
        }

        /** Returns what the caller keeps for the request. */
        public T item() {
            return item;
        }

        /** Returns the request. */
        public WaitingRequest request() {
            return request;
        }
    }

    /**
     * The place of a request in the order in which requests are sent.
     *
     * @param late whether it can't be on time any more
     * @param rank its urgency rank
     * @param turn turn of its account
     * @param objectiveNanos time by which its response should begin
     * @param size tokens that it needs
     * @param sequence number in the order of the offers
     */
    private record Position(boolean late, int rank, long turn, long objectiveNanos, long size, long sequence)
            implements Comparable<Position> {

        private static final Comparator<Position> COMPARATOR = Comparator.comparing(Position::late)
                .thenComparingInt(Position::rank)
                .thenComparingLong(Position::turn)
                .thenComparingLong(Position::objectiveNanos)
                .thenComparingLong(Position::size)
                .thenComparingLong(Position::sequence);

        static Position of(WaitingRequest request, long turn, long sequence) {
            return new Position(false, request.rank(), turn, request.objectiveNanos(), request.size(), sequence);
        }

        Position asLate() {
            return new Position(true, rank, turn, objectiveNanos, size, sequence);
        }

        @Override
        public int compareTo(Position other) {
            return COMPARATOR.compare(this, other);
        }
    }

    /**
     * A request that leaves the queue unsent.
     *
     * @param item what the caller keeps for it
     * @param reason why it leaves
     * @param retryAfter delay after which it should come back
     * @param <T> type of {@code item}
     */
    public record Departure<T>(T item, Reason reason, Duration retryAfter) {}

    /** Why a request leaves the queue unsent. */
    public enum Reason {
        /** Its response is no longer expected to begin in time. */
        NOT_IN_TIME("not_in_time"),
        /** It has waited for an eighth of its objective, and a retry would get a place as soon. */
        HELD("held"),
        /** Requests that go before it fill the queue. */
        FULL("full");

        private final String code;

        Reason(String code) {
            this.code = code;
        }

        /** Returns the name in logs and metrics. */
        public String code() {
            return code;
        }
    }
}
