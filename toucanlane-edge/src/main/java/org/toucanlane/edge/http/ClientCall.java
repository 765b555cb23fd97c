package org.toucanlane.edge.http;

/** A request on its connection. Used on the event loop of its pool only. */
public interface ClientCall {

    /** Gives the request up: the connection is closed, and the exchange hears nothing more. */
    void cancel();

    /** Pauses or resumes reading of the answer, for a receiver that can't keep up. */
    void setAutoRead(boolean reading);
}
