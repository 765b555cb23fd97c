package org.toucanlane.edge.http;

import io.netty.util.internal.PlatformDependent;
import org.toucanlane.policy.admission.BodyBudget;
import org.toucanlane.policy.admission.ChannelLimit;
import org.toucanlane.policy.admission.ConnectionQuota;
import org.toucanlane.policy.admission.LongHeadBudget;

/**
 * What the connections of all servers of a process may take: parts of the direct memory and of the heap that the virtual
 * machine allows, and channels. Used on one event loop only.
 */
public final class ServerMemory {

    /** Maximum number of unsent bytes, whatever memory there is. */
    private static final long MAX_UNSENT_BYTES = 16L << 20;

    /** Part of the direct memory for callers; the rest is for endpoints, other hosts and what the allocator can't use. */
    private static final double CALLERS_FRACTION = 4.0 / 5;

    /** Part of the callers' direct memory for unsent bytes. */
    private static final double UNSENT_FRACTION = 1.0 / 4;

    /** Part of the callers' direct memory for bytes behind requests that are being answered. */
    private static final double HELD_FRACTION = 1.0 / 8;

    /** Part of the heap for the fields of heads, and for long heads of requests in progress. */
    private static final double HEADS_FRACTION = 1.0 / 8;

    private final BodyBudget bodies;
    private final ConnectionQuota<ServerChannelHandler> unsent;
    private final ConnectionQuota<ServerChannelHandler> held;
    private final ConnectionQuota<ServerChannelHandler> heads;

    private final LongHeadBudget longHeads;
    private final ServerConnections connections;

    private ServerMemory(long directBytes, long heapBytes, ChannelLimit channels) {
        this.connections = new ServerConnections(channels);
        long callerBytes = (long) (directBytes * CALLERS_FRACTION);
        this.bodies = BodyBudget.within(callerBytes);
        this.unsent = ConnectionQuota.of(Math.min(MAX_UNSENT_BYTES, (long) (callerBytes * UNSENT_FRACTION)));
        this.held = ConnectionQuota.of((long) (callerBytes * HELD_FRACTION));
        this.longHeads = LongHeadBudget.of((long) (heapBytes * HEADS_FRACTION));
        this.heads = ConnectionQuota.of((long) (heapBytes * HEADS_FRACTION));
    }

    /** Creates an instance for this process of which nothing is taken, without a limit on channels. */
    public static ServerMemory create() {
        return create(ChannelLimit.unlimited());
    }

    /** Creates an instance for this process of which nothing is taken. */
    public static ServerMemory create(ChannelLimit channels) {
        return new ServerMemory(
                PlatformDependent.maxDirectMemory(), Runtime.getRuntime().maxMemory(), channels);
    }

    /** Returns the connections of all servers. */
    ServerConnections connections() {
        return connections;
    }

    /** Returns the number of connections closed because there were too many. */
    public long connectionsClosed() {
        return connections.closed();
    }

    /** Returns the memory for the bodies of requests. */
    BodyBudget bodies() {
        return bodies;
    }

    /** Returns the memory for the fields of requests that are being read or answered. */
    ConnectionQuota<ServerChannelHandler> heads() {
        return heads;
    }

    /** Returns the memory for bytes behind requests that are being answered. */
    ConnectionQuota<ServerChannelHandler> held() {
        return held;
    }

    /** Returns the memory for requests in progress with long heads. */
    LongHeadBudget longHeads() {
        return longHeads;
    }

    /** Returns the memory for responses that haven't been sent. */
    ConnectionQuota<ServerChannelHandler> unsent() {
        return unsent;
    }
}
