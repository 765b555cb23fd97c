package org.toucanlane.gateway.caller;

import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.telemetry.RequestRecord;

/** A caller's request from its arrival to the last byte of its answer. Closing it more than once is harmless. */
final class RunningRequest implements AutoCloseable {

    private final RequestRecord requestRecord;
    private final RunningRequests.Entry entry;

    RunningRequest(RequestRecord log, RunningRequests.Entry entry) {
        this.requestRecord = log;
        this.entry = entry;
    }

    RequestRecord requestRecord() {
        return requestRecord;
    }

    void onKeyRevoked(Runnable end) {
        entry.onKeyRevoked(end);
    }

    boolean isKeyRevoked() {
        return entry.isKeyRevoked();
    }

    @Override
    public void close() {
        entry.close();
        requestRecord.close();
    }
}
