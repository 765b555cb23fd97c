package org.toucanlane.gateway.caller;

import jakarta.servlet.http.HttpServletRequest;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The connection that a caller's request came on. Thread-safe. */
final class CallerConnection {

    private final HttpServletRequest request;

    CallerConnection(HttpServletRequest request) {
        this.request = request;
    }

    /** Returns the address at the other end. */
    String remoteAddress() {
        return request.getRemoteAddr();
    }

    /**
     * Breaks the connection, so that an answer that is under way can't be taken for whole. Without this the server
     * would end the body as if nothing had happened.
     */
    void close() {
        ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
