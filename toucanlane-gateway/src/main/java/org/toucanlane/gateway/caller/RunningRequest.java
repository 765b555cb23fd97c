package org.toucanlane.gateway.caller;

import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.telemetry.RequestRecord;

/** A caller's request from its arrival to the last byte of its answer. Closing it more than once is harmless. */
final class RunningRequest implements AutoCloseable {

    private final RequestRecord log;
    private final RunningRequests.Entry entry;

    RunningRequest(RequestRecord log, RunningRequests.Entry entry) {
        this.log = log;
        this.entry = entry;
    }

    RequestRecord log() {
        return log;
    }

    void onWithdrawal(Runnable end) {
        entry.onWithdrawal(end);
    }

    boolean isWithdrawn() {
        return entry.isWithdrawn();
    }

    @Override
    public void close() {
        entry.close();
        log.close();
    }
}
