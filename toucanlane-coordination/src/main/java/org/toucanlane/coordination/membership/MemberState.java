package org.toucanlane.coordination.membership;

/** The state of a host as observed by another host. */
public enum MemberState {
    /** A heartbeat was received recently. */
    ALIVE(true),
    /** A heartbeat was received recently, and the host is shutting down. */
    LEAVING(false),
    /** No heartbeat was received within the timeout. The host may have failed, be paused or be partitioned. */
    SILENT(false),
    /** No heartbeat was ever received. */
    UNKNOWN(false);

    private final boolean acceptsWork;

    MemberState(boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /** Returns whether new work may be sent to a host in this state. */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
