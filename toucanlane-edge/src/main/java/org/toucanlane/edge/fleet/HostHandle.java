package org.toucanlane.edge.fleet;

import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.edge.http.ChannelPool;

/** Another host, with connections for requests that run there. Used on the event loop only. */
public final class HostHandle {

    private final HostRecord entry;
    private final ChannelPool pool;
    private long heardAt;
    private boolean heard;

    HostHandle(HostRecord entry, ChannelPool pool) {
        this.entry = entry;
        this.pool = pool;
    }

    /** Returns what it says of itself. */
    public HostRecord entry() {
        return entry;
    }

    /** Returns its connections. */
    public ChannelPool pool() {
        return pool;
    }

    /** Returns the number that stands for a host of that name in reports between hosts. */
    public static int tagOf(String name) {
        return (int) RendezvousHash.hash(name);
    }

    /** Notes that it, or a host that hears it, has reported at {@code time}. */
    public void hear(long time) {
        if (!heard || time - heardAt > 0) {
            heardAt = time;
            heard = true;
        }
    }

    /** Returns whether a report has come within {@code nanos}. */
    public boolean isHeard(long now, long nanos) {
        return heard && now - heardAt <= nanos;
    }

    /** Returns whether a report has ever come from it. */
    public boolean wasHeard() {
        return heard;
    }
}
