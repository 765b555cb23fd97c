package org.toucanlane.policy.queue;

import java.time.Duration;

/** Thrown when a request may not wait, or has waited for as long as it may. It holds no place. */
public final class QueueRejectedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why a request may not wait on. */
    public enum Reason {
        /** The account's places, or all of them, are taken. */
        NO_ROOM,
        /** Its turn would come after its deadline, or has not come before it. */
        DEADLINE,
        /** The queue is being emptied. */
        CLOSED
    }

    private final Reason reason;
    private final transient Duration expectedWait;

    QueueRejectedException(Reason reason, Duration expectedWait) {
        super("no place in the queue: " + reason);
        this.reason = reason;
        this.expectedWait = expectedWait;
    }

    /** Returns why. */
    public Reason reason() {
        return reason;
    }

    /** Returns how long a request that came now would wait. */
    public Duration expectedWait() {
        return expectedWait;
    }
}
