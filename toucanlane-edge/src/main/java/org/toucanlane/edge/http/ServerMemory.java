package org.toucanlane.edge.http;

import io.netty.util.internal.PlatformDependent;
import org.toucanlane.policy.admission.BodyBudget;
import org.toucanlane.policy.admission.UnsentResponses;

/**
 * The memory that the connections of all servers of a process may take: parts of the direct memory that the virtual machine
 * allows. Used on one event loop only.
 */
public final class ServerMemory {

    private final BodyBudget bodies;
    private final UnsentResponses<ServerChannelHandler> unsent;

    private ServerMemory(long directBytes) {
        this.bodies = BodyBudget.within(directBytes);
        this.unsent = UnsentResponses.within(directBytes);
    }

    /** Creates an instance for this process of which nothing is taken. */
    public static ServerMemory create() {
        return new ServerMemory(PlatformDependent.maxDirectMemory());
    }

    /** Returns the memory for the bodies of requests. */
    BodyBudget bodies() {
        return bodies;
    }

    /** Returns the memory for responses that haven't been sent. */
    UnsentResponses<ServerChannelHandler> unsent() {
        return unsent;
    }
}
