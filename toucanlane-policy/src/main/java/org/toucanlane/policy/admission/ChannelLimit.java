package org.toucanlane.policy.admission;

import com.google.common.base.Preconditions;

/**
 * Bounds the number of channels that a process has open: connections of callers and to other processes, and sockets that
 * listen.
 *
 * <p>Load pattern: callers that open connections and send nothing, or stop within a request, until the process has no
 * descriptor for the connections of others or for those to endpoints. A sixth of the channels is kept free for these.
 *
 * <p>Invariant: the number of open channels is the number of calls of {@link #opened} without one of {@link #closed}. Not
 * thread-safe.
 */
public final class ChannelLimit {

    /** Parts of the channels, of which one is kept free for connections to other processes. */
    private static final int RESERVED_PARTS = 6;

    private final int maxForCallers;
    private int open;

    private ChannelLimit(int maxForCallers) {
        this.maxForCallers = maxForCallers;
    }

    /** Creates a limit of {@code maxChannels} of which none is open. */
    public static ChannelLimit of(int maxChannels) {
        Preconditions.checkArgument(maxChannels > 0, "maxChannels must be positive: %s", maxChannels);
        return new ChannelLimit(maxChannels - maxChannels / RESERVED_PARTS);
    }

    /** Creates a limit that is never reached. */
    public static ChannelLimit unlimited() {
        return of(Integer.MAX_VALUE);
    }

    /** Records that a channel was opened. */
    public void opened() {
        open++;
    }

    /** Records that a channel was closed. */
    public void closed() {
        open--;
    }

    /** Returns whether a caller's connection has to be closed for others. */
    public boolean isExceeded() {
        return open > maxForCallers;
    }

    /** Returns the number of channels that there are beyond which connections of callers are closed. */
    public int maxForCallers() {
        return maxForCallers;
    }

    /** Returns the number of open channels. */
    public int open() {
        return open;
    }
}
