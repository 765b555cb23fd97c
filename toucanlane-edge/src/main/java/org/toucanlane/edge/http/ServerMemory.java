package org.toucanlane.edge.http;

import io.netty.util.internal.PlatformDependent;
import org.toucanlane.policy.admission.BodyBudget;
import org.toucanlane.policy.admission.ConnectionQuota;

/**
 * The memory that the connections of all servers of a process may take: parts of the direct memory and of the heap that the
 * virtual machine allows. Used on one event loop only.
 */
public final class ServerMemory {

    /** Maximum number of unsent bytes, whatever memory there is. */
    private static final long MAX_UNSENT_BYTES = 16L << 20;

    /** Part of the direct memory for unsent bytes. */
    private static final double UNSENT_FRACTION = 1.0 / 4;

    /** Part of the heap for the fields of heads. */
    private static final double HEADS_FRACTION = 1.0 / 8;

    private final BodyBudget bodies;
    private final ConnectionQuota<ServerChannelHandler> unsent;
    private final ConnectionQuota<ServerChannelHandler> heads;

    private ServerMemory(long directBytes, long heapBytes) {
        this.bodies = BodyBudget.within(directBytes);
        this.unsent = ConnectionQuota.of(Math.min(MAX_UNSENT_BYTES, (long) (directBytes * UNSENT_FRACTION)));
        this.heads = ConnectionQuota.of((long) (heapBytes * HEADS_FRACTION));
    }

    /** Creates an instance for this process of which nothing is taken. */
    public static ServerMemory create() {
        return new ServerMemory(
                PlatformDependent.maxDirectMemory(), Runtime.getRuntime().maxMemory());
    }

    /** Returns the memory for the bodies of requests. */
    BodyBudget bodies() {
        return bodies;
    }

    /** Returns the memory for the fields of requests that are being read or answered. */
    ConnectionQuota<ServerChannelHandler> heads() {
        return heads;
    }

    /** Returns the memory for responses that haven't been sent. */
    ConnectionQuota<ServerChannelHandler> unsent() {
        return unsent;
    }
}
