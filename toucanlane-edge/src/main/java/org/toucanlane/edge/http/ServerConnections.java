package org.toucanlane.edge.http;

import com.google.common.base.Preconditions;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.toucanlane.policy.admission.ChannelLimit;

/**
 * The connections of all servers of a process.
 *
 * <p>Invariant: for each connection that is added beyond the limit on channels one is closed, which may be itself. A connection
 * with a request in progress is closed only if its caller takes more than its share. Confined to the event loop.
 */
final class ServerConnections {

    /** Time in which the first request on a connection has come unless its caller is slow. */
    private static final long RECENT_NANOS = Duration.ofMillis(500).toNanos();

    private final ChannelLimit limit;
    private final Set<ServerChannelHandler> open = new HashSet<>();
    private long closed;

    ServerConnections(ChannelLimit limit) {
        this.limit = Preconditions.checkNotNull(limit, "limit");
    }

    /** Adds a connection, and closes one without a request in progress if there are too many channels. */
    void add(ServerChannelHandler connection) {
        open.add(connection);
        if (limit.isExceeded()) {
            ServerChannelHandler closing = leastUseful(connection).orElse(connection);
            closed++;
            // Not chosen again: the server is told of the close later.
            open.remove(closing);
            closing.close();
        }
    }

    private Optional<ServerChannelHandler> leastUseful(ServerChannelHandler added) {
        long now = System.nanoTime();
        return open.stream()
                .filter(connection -> connection != added && Usefulness.of(connection, now) != Usefulness.IN_USE)
                .min(Comparator.<ServerChannelHandler, Usefulness>comparing(
                                connection -> Usefulness.of(connection, now))
                        .thenComparing(connection -> connection.inactiveNanos(now), Comparator.reverseOrder()));
    }

    ChannelLimit limit() {
        return limit;
    }

    void remove(ServerChannelHandler connection) {
        open.remove(connection);
    }

    /** What a connection is used for; those of the first kind are closed first, and of them the one that is inactive longest. */
    private enum Usefulness {
        /** The caller takes more than its share: it sends ahead, or is expensive to read. */
        GREEDY,
        /** No request has been answered, and none has come for a while. */
        UNUSED,
        IDLE,
        /** Was opened, or had a request, just now. */
        RECENT,
        IN_USE;

        private static Usefulness of(ServerChannelHandler connection, long now) {
            if (connection.isGreedy()) {
                return GREEDY;
            }
            if (connection.isHandling()) {
                return IN_USE;
            }
            if (connection.inactiveNanos(now) < RECENT_NANOS) {
                return RECENT;
            }
            return connection.hasServed() ? IDLE : UNUSED;
        }
    }

    /** Returns the number of connections closed because there were too many. */
    long closed() {
        return closed;
    }
}
