package org.toucanlane.gateway.caller;

import org.toucanlane.gateway.lifecycle.RunningRequests;
import org.toucanlane.gateway.telemetry.RequestRecord;

/** A caller's request, from its start until the response is complete. Closing it again has no effect. */
final class RunningRequest implements AutoCloseable {

    private final RequestRecord requestRecord;
    private final RunningRequests.Entry entry;

    RunningRequest(RequestRecord requestRecord, RunningRequests.Entry entry) {
        this.requestRecord = requestRecord;
        this.entry = entry;
    }

    RequestRecord requestRecord() {
        return requestRecord;
    }

    /** Sets the action that cancels the request when its key is revoked; runs at once if it already is. */
    void onKeyRevoked(Runnable cancelAction) {
        entry.onKeyRevoked(cancelAction);
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
