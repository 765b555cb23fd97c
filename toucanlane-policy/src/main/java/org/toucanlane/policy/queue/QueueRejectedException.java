package org.toucanlane.policy.queue;

import java.time.Duration;

/** Thrown when a request may not wait for a permit, or was not granted one in time. The request holds no permit. */
public final class QueueRejectedException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Why the request was rejected. */
    public enum Reason {
        /** The account, or the queue as a whole, has the maximum number of waiting requests. */
        NO_ROOM,
        /** The request is expected to be admitted after its deadline, or was not admitted before it. */
        DEADLINE,
        /** The queue is closed. */
        CLOSED
    }

    private final Reason reason;
    private final transient Duration expectedWait;

    QueueRejectedException(Reason reason, Duration expectedWait) {
        super("no place in the queue: " + reason);
        this.reason = reason;
        this.expectedWait = expectedWait;
    }

    /** Returns why the request was rejected. */
    public Reason reason() {
        return reason;
    }

    /** Returns the expected wait of a further request of the account at the time of the rejection. */
    public Duration expectedWait() {
        return expectedWait;
    }
}
