package org.toucanlane.gateway.caller;

import jakarta.servlet.http.HttpServletRequest;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/** The connection on which a caller's request was received. Thread-safe. */
final class CallerConnection {

    private final HttpServletRequest request;

    CallerConnection(HttpServletRequest request) {
        this.request = request;
    }

    /** Returns the remote address of the connection. */
    String remoteAddress() {
        return request.getRemoteAddr();
    }

    /**
     * Closes the connection, so that the caller can't take a truncated response for a complete one. Otherwise the
     * server would end the body normally.
     */
    void close() {
        ServletContextRequest.getServletContextRequest(request)
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }
}
