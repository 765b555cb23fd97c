package org.toucanlane.edge.http;

/** Handles completely received requests. Called on the event loop of the request's connection. */
public interface RequestHandler {

    /** Handles {@code request}. The response may be sent later; the handler releases the body. */
    void handle(InboundRequest request);

    /** Returns the response to input that is not an acceptable request. The connection is closed after it. */
    default ServerRejection rejectionFor(ServerRejection.Reason reason) {
        return new ServerRejection(reason.status(), "");
    }
}
