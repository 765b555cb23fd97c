package org.toucanlane.edge.http;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.toucanlane.policy.overload.ArrivalQueue;
import org.toucanlane.policy.overload.LoopClock;

/**
 * Passes the requests that the servers of a host have read to their handlers: one task each or, while the event loop is late,
 * in the order of an {@link ArrivalQueue}.
 *
 * <p>Invariant: a request is handled or refused after all input of the pass that has read it, so that its caller's close has
 * been seen if it came behind it. Confined to the event loop.
 */
public final class RequestIntake {

    /** Time for which requests are handled before the loop reads again. */
    private static final long SLICE_NANOS = Duration.ofMillis(10).toNanos();

    /** Parts of the shortest objective; a loop whose input waits for one of them is late. */
    private static final int LATE_PARTS = 4;

    /** Shortest delay at which a loop is late; a pass takes a few milliseconds on a calm host. */
    private static final Duration MIN_LATE = Duration.ofMillis(20);

    private final Optional<LoopClock> clock;
    private final Deque<Arrival> unsorted = new ArrayDeque<>();
    private final ArrivalQueue<Arrival> sorted = new ArrivalQueue<>();
    private long lateNanos = Long.MAX_VALUE;
    private boolean scheduled;

    private RequestIntake(Optional<LoopClock> clock) {
        this.clock = clock;
    }

    /** Creates the intake of a host whose event loop {@code clock} measures. */
    public static RequestIntake of(LoopClock clock) {
        return new RequestIntake(Optional.of(clock));
    }

    /** Creates an intake for an event loop that isn't measured: it is never late, and what it reads is new. */
    static RequestIntake unmeasured() {
        return new RequestIntake(Optional.empty());
    }

    /** Sets the shortest latency objective in force, from which follows when the loop is late. */
    public void setShortestObjective(Duration objective) {
        Duration late = objective.dividedBy(LATE_PARTS);
        lateNanos = Math.max(late.toNanos(), MIN_LATE.toNanos());
    }

    /** Returns the number of requests that wait because the loop is late. */
    public int waiting() {
        return unsorted.size() + sorted.size();
    }

    /** Returns when a request counts as received that may have been waiting since {@code since}: just now on a calm host. */
    long receivedAt(long since) {
        long now = System.nanoTime();
        return now - since < MIN_LATE.toNanos() ? now : since;
    }

    /** Returns the time since which the input of the present pass may have been waiting. */
    long readableSince() {
        return clock.map(LoopClock::readableSince).orElseGet(System::nanoTime);
    }

    /**
     * Returns whether the present pass is the one after {@code earlierPass}, and found its input without having to wait for it.
     * Input of such a pass may have come in the earlier one.
     */
    boolean isNextPassWithoutIdling(long earlierPass) {
        return clock.isPresent()
                && clock.get().pass() == earlierPass + 1
                && !clock.get().wasIdle();
    }

    /** Returns the number of the present pass. */
    long pass() {
        return clock.map(LoopClock::pass).orElse(0L);
    }

    /** Has {@code arrival} handled or refused, in a task of {@code loop}. */
    void accept(EventLoop loop, Arrival arrival) {
        if (!isLate()) {
            loop.execute(arrival::handle);
            return;
        }
        unsorted.add(arrival);
        if (!scheduled) {
            scheduled = true;
            loop.execute(() -> work(loop));
        }
    }

    private boolean isLate() {
        return scheduled
                || clock.isPresent() && !clock.get().wasIdle() && clock.get().delayNanos() >= lateNanos;
    }

    private void work(EventLoop loop) {
        scheduled = waiting() > 0;
        if (!scheduled) {
            return;
        }
        // Timers run after the next read, tasks may run before it.
        loop.schedule(() -> work(loop), 0, TimeUnit.NANOSECONDS);
        long begun = System.nanoTime();
        long delay = clock.map(LoopClock::expectedDelayNanos).orElse(0L);
        while (!unsorted.isEmpty()) {
            sort(loop, unsorted.pollFirst(), begun);
        }
        sorted.takeRefused(begun, delay).forEach(arrival -> loop.execute(arrival::refuseAsLate));
        long sliceBegan = System.nanoTime();
        do {
            sorted.takeNext(System.nanoTime(), delay).ifPresent(Arrival::handle);
        } while (!sorted.isEmpty() && System.nanoTime() - sliceBegan < SLICE_NANOS);
    }

    /** Has all requests that wait handled now, on a host that refuses new ones. */
    public void handleAll(EventLoop loop) {
        while (!sorted.isEmpty()) {
            sorted.takeNext(System.nanoTime(), 0).ifPresent(arrival -> loop.execute(arrival::handle));
        }
        while (!unsorted.isEmpty()) {
            loop.execute(unsorted.pollFirst()::handle);
        }
    }

    private void sort(EventLoop loop, Arrival arrival, long now) {
        arrival.terms()
                .ifPresentOrElse(
                        terms -> sorted.add(arrival, terms, arrival.since(), now), () -> loop.execute(arrival::handle));
    }

    /** A request that has been read. Each is handled or refused once. */
    interface Arrival {

        /** Returns the time since which the request may have been waiting. */
        long since();

        /** Returns what the caller of the request needs, or empty if the request isn't worth sorting. */
        Optional<ArrivalQueue.Terms> terms();

        /** Handles the request, or releases it if its caller has left. */
        void handle();

        /** Refuses the request because this host is late, or releases it if its caller has left. */
        void refuseAsLate();
    }
}
