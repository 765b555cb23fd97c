package org.toucanlane.edge.http;

/** Answers requests that a server has read whole. Called on the event loop of the request's connection. */
public interface RequestHandler {

    /** Answers {@code request}, now or later; the handler releases the body. */
    void handle(InboundRequest request);

    /** Returns the answer to bytes that are no acceptable request; the connection closes after it. */
    default ServerRejection rejectionFor(ServerRejection.Reason reason) {
        return new ServerRejection(reason.status(), "");
    }
}
