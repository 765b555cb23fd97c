package org.toucanlane.edge.fleet;

import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.edge.http.ChannelPool;

/**
 * Another host and the connection pool for requests that are forwarded to it. Not thread-safe: confined to the host's
 * event loop.
 */
public final class HostHandle {

    private final HostRecord entry;
    private final ChannelPool pool;
    private long lastReportAt;
    private boolean everReported;

    HostHandle(HostRecord entry, ChannelPool pool) {
        this.entry = entry;
        this.pool = pool;
    }

    /** Returns the record that the host has published. */
    public HostRecord entry() {
        return entry;
    }

    /** Returns the connection pool. */
    public ChannelPool pool() {
        return pool;
    }

    /** Returns the 32-bit hash that identifies the host {@code name} in load reports. */
    public static int tagOf(String name) {
        return (int) RendezvousHash.hash(name);
    }

    /** Records that a report from this host, or an aggregate that includes it, was made at {@code time}. */
    public void recordReport(long time) {
        if (!everReported || time - lastReportAt > 0) {
            lastReportAt = time;
            everReported = true;
        }
    }

    /** Returns whether the latest report is at most {@code nanos} old. */
    public boolean hasReportedWithin(long now, long nanos) {
        return everReported && now - lastReportAt <= nanos;
    }

    /** Returns the time of the latest report, or zero if there is none. */
    public long lastReportAt() {
        return lastReportAt;
    }

    /** Returns whether any report has been recorded. */
    public boolean hasEverReported() {
        return everReported;
    }
}
