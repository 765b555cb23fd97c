package org.toucanlane.coordination.membership;

/** How a host stands in another one's eyes. */
public enum MemberState {
    /** Heard of lately. */
    ALIVE(true),
    /** Heard of lately, and shutting down. */
    LEAVING(false),
    /** Silent for longer than heartbeats may be late. It may be dead, paused or cut off. */
    SILENT(false),
    /** Never heard of. */
    UNKNOWN(false);

    private final boolean acceptsWork;

    MemberState(boolean takesWork) {
        this.acceptsWork = takesWork;
    }

    /** Returns whether new work may be sent to such a host. */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
