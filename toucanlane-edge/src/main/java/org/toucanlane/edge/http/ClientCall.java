package org.toucanlane.edge.http;

/** A request in progress on a connection. Used on the event loop of its pool only. */
public interface ClientCall {

    /** Cancels the request: closes the connection without notifying the listener. */
    void cancel();

    /** Pauses or resumes reading of the response, to apply backpressure. */
    void setAutoRead(boolean autoRead);
}
