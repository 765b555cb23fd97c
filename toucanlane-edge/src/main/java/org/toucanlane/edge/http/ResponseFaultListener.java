package org.toucanlane.edge.http;

/** Receives the faults in what one server sends. Called on the event loop of its connections. */
public interface ResponseFaultListener {

    /**
     * Called when bytes of the server are not taken for the response to the pending request.
     *
     * @param exchange number of requests that the connection had carried, including a pending one
     * @param detail what was received
     */
    void onFault(ResponseFault fault, int exchange, String detail);
}
