package org.toucanlane.edge.fleet;

import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.edge.http.ChannelPool;

/** Another host, with connections for requests that run there. Used on the event loop only. */
public final class HostHandle {

    private final HostRecord entry;
    private final ChannelPool pool;
    private long lastReportAt;
    private boolean everReported;

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
    public void recordReport(long time) {
        if (!everReported || time - lastReportAt > 0) {
            lastReportAt = time;
            everReported = true;
        }
    }

    /** Returns whether a report has come within {@code nanos}. */
    public boolean hasReportedWithin(long now, long nanos) {
        return everReported && now - lastReportAt <= nanos;
    }

    /** Returns whether a report has ever come from it. */
    public boolean hasEverReported() {
        return everReported;
    }
}
