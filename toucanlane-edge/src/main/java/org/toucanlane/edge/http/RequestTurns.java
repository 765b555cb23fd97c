package org.toucanlane.edge.http;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections go on in turns whose callers send requests ahead, or requests that are expensive to decode, so that they
 * take a part of the event loop's time only while others have requests too.
 *
 * <p>Invariants: between two slices the event loop reads all connections; at least one turn is taken in each slice, in order
 * of arrival. Confined to the event loop.
 */
final class RequestTurns {

    /** Time that the turns may take before the loop reads all connections again. */
    private static final long SLICE_NANOS = Duration.ofMillis(5).toNanos();

    /** Number of requests that wait to be handled at which no more are read. */
    private static final int MAX_UNHANDLED = 8;

    private final RequestIntake intake;
    private final Set<ServerChannelHandler> waiting = new LinkedHashSet<>();
    private boolean scheduled;

    /** Creates turns that are taken while few requests wait in {@code intake}. */
    RequestTurns(RequestIntake intake) {
        this.intake = intake;
    }

    /** Adds a connection that isn't read until its turn. */
    void add(ServerChannelHandler connection, EventLoop loop) {
        waiting.add(connection);
        if (!scheduled) {
            scheduled = true;
            // Timers run after the next read, tasks may run before it.
            loop.schedule(() -> beginSlice(loop), 0, TimeUnit.NANOSECONDS);
        }
    }

    /** Removes a connection that has been closed. */
    void remove(ServerChannelHandler connection) {
        waiting.remove(connection);
    }

    private void beginSlice(EventLoop loop) {
        scheduled = false;
        Deque<ServerChannelHandler> turns = new ArrayDeque<>(waiting);
        long end = System.nanoTime() + SLICE_NANOS;
        // One turn is taken however late the loop is, so that each connection goes on at some time.
        takeTurn(loop, turns, end);
    }

    private void takeTurn(EventLoop loop, Deque<ServerChannelHandler> turns, long end) {
        ServerChannelHandler next = turns.pollFirst();
        if (next != null) {
            long later = waiting.remove(next) ? next.takeTurn() : 0;
            // Behind the tasks that handle the request, so that their time counts.
            loop.execute(() -> continueSlice(loop, turns, end - later));
        }
    }

    private void continueSlice(EventLoop loop, Deque<ServerChannelHandler> turns, long end) {
        if (!turns.isEmpty() && System.nanoTime() - end < 0 && intake.waiting() < MAX_UNHANDLED) {
            takeTurn(loop, turns, end);
        } else if (!waiting.isEmpty() && !scheduled) {
            scheduled = true;
            loop.schedule(() -> beginSlice(loop), 0, TimeUnit.NANOSECONDS);
        }
    }
}
