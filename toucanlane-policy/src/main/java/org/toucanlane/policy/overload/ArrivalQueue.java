package org.toucanlane.policy.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The requests that a host has read and not yet begun to handle, while its event loop is late.
 *
 * <p>Load pattern: more requests than a tenth of a core can handle. In order of arrival each of them is handled when it is too
 * late. So what can still be on time goes first, the most urgent first, and of these the newest: the older ones would be late
 * before the newer ones. A request is refused when its caller has given it up, and when others are kept from being on time by
 * it: if it is late by a whole objective while any other can be on time, or late at all while more urgent ones wait. That
 * holds once requests have waited without a break for a quarter of its objective, so that a single stall refuses nothing
 * that is still wanted. What is late otherwise is handled when nothing else waits.
 *
 * <p>All times are monotonic nanoseconds. Not thread-safe: confined to the event loop.
 *
 * @param <T> the type of a request
 */
public final class ArrivalQueue<T> {

    /** Time from the arrival, in objectives, beyond which it is too late to take time from others. */
    private static final int MAX_OBJECTIVES = 2;

    /** Parts of an objective, for one of which requests have to wait without a break before any is refused to help others. */
    private static final int STANDING_PARTS = 4;

    private static final Comparator<Arrival<?>> URGENCY = Comparator.<Arrival<?>>comparingInt(
                    arrival -> arrival.terms().rank())
            .thenComparing((a, b) -> Long.compare(b.since() - a.since(), 0));

    private final List<Arrival<T>> arrivals = new ArrayList<>();
    private long waitingSince;

    /**
     * Adds a request.
     *
     * @param since time since which it may have been waiting
     */
    public void add(T request, Terms terms, long since, long now) {
        if (arrivals.isEmpty()) {
            waitingSince = now;
        }
        arrivals.add(new Arrival<>(request, terms, since));
    }

    /** Returns whether no request waits. */
    public boolean isEmpty() {
        return arrivals.isEmpty();
    }

    /** Returns the number of requests that wait. */
    public int size() {
        return arrivals.size();
    }

    /**
     * Removes the requests that are to be refused.
     *
     * @param expectedDelay time that the loop is expected to need until it next reads, in nanoseconds
     */
    public List<T> takeRefused(long now, long expectedDelay) {
        if (arrivals.isEmpty()) {
            return List.of();
        }
        int mostUrgent = arrivals.stream()
                .mapToInt(arrival -> arrival.terms().rank())
                .min()
                .orElse(0);
        boolean othersOnTime = arrivals.stream().anyMatch(arrival -> !arrival.isLate(now, expectedDelay));
        Map<Boolean, List<Arrival<T>>> byRefusal = arrivals.stream()
                .collect(Collectors.partitioningBy(arrival -> arrival.isGivenUp(now)
                        || arrival.isStanding(now - waitingSince)
                                && (othersOnTime && arrival.isTooLate(now, expectedDelay)
                                        || arrival.terms().rank() > mostUrgent && arrival.isLate(now, expectedDelay))));
        arrivals.clear();
        arrivals.addAll(byRefusal.get(false));
        return byRefusal.get(true).stream().map(Arrival::request).toList();
    }

    /** Removes the request that is to be handled next. */
    public Optional<T> takeNext(long now, long expectedDelay) {
        Optional<Arrival<T>> next = arrivals.stream()
                .min(Comparator.<Arrival<T>, Boolean>comparing(arrival -> arrival.isLate(now, expectedDelay))
                        .thenComparing(URGENCY));
        next.ifPresent(arrivals::remove);
        return next.map(Arrival::request);
    }

    /**
     * What the caller of a request needs.
     *
     * @param rank urgency; 0 is the most urgent
     * @param objective latency objective
     * @param givenUpAfter age at which the caller gives it up
     */
    public record Terms(int rank, Duration objective, Duration givenUpAfter) {}

    private record Arrival<T>(T request, Terms terms, long since) {

        boolean isLate(long now, long expectedDelay) {
            return now - since + expectedDelay > terms.objective().toNanos();
        }

        boolean isTooLate(long now, long expectedDelay) {
            return now - since + expectedDelay
                    > MAX_OBJECTIVES * terms.objective().toNanos();
        }

        boolean isStanding(long waitingNanos) {
            return waitingNanos * STANDING_PARTS >= terms.objective().toNanos();
        }

        boolean isGivenUp(long now) {
            return now - since >= terms.givenUpAfter().toNanos();
        }
    }
}
