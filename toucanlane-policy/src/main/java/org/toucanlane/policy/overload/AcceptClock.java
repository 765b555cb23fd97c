package org.toucanlane.policy.overload;

/**
 * Measures since when the first bytes on a new connection may have been waiting.
 *
 * <p>Load pattern: hundreds of callers that connect, and send at once, to a host that isn't reading. A pass of the event loop
 * takes only some of the connections from the queue in which the kernel has accepted them, so those of a later pass may have
 * waited as long as the first ones. The queue is in order and has a bounded length, so after that many connections all that
 * were in it at first have been taken. Not thread-safe: confined to the event loop.
 */
public final class AcceptClock {

    private final int perPass;
    private final int queueLength;
    private boolean passOpen;
    private int acceptedInPass;
    private boolean mayHoldMore;
    private long waitingSince;
    private int acceptedSince;
    private long queuedBefore;

    /**
     * Creates a clock.
     *
     * @param perPass number of connections that a pass takes at most
     * @param queueLength number of connections that the queue holds at most
     */
    public AcceptClock(int perPass, int queueLength) {
        this.perPass = perPass;
        this.queueLength = queueLength;
    }

    /**
     * Records a connection.
     *
     * @param readableSince time since which the input of the present pass may have been waiting
     * @param now present time
     * @return time since which the connection may have been waiting
     */
    public long accepted(long readableSince, long now) {
        if (!passOpen) {
            passOpen = true;
            acceptedInPass = 0;
            if (!mayHoldMore) {
                waitingSince = readableSince;
                acceptedSince = 0;
                queuedBefore = now;
            } else if (acceptedSince >= queueLength) {
                waitingSince = queuedBefore;
                acceptedSince = 0;
                queuedBefore = now;
            }
        }
        acceptedInPass++;
        acceptedSince++;
        return waitingSince;
    }

    /** Records that the queue was empty after the connections recorded so far. */
    public void queueWasEmpty() {
        mayHoldMore = false;
        passOpen = false;
    }

    /** Records that the present pass takes no more connections. */
    public void endPass() {
        mayHoldMore = passOpen && acceptedInPass >= perPass;
        passOpen = false;
    }
}
