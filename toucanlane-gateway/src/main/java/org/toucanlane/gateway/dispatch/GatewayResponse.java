package org.toucanlane.gateway.dispatch;

import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * A response whose body is read as a stream.
 *
 * <p>Closing it before the end of the body tells the sender to stop. Must be read by a single thread; may be closed by
 * another thread and more than once.
 */
public interface GatewayResponse extends AutoCloseable {

    /** Returns the HTTP status. */
    int status();

    /** Returns the content type of the body. */
    String contentType();

    /** Returns the name of the data centre that sends the response. */
    String dataCentre();

    /**
     * Reads the available bytes of the body, blocking until there is at least one.
     *
     * @return the number of bytes read, or -1 at the end of a complete response
     * @throws RequestFailedException if the response was truncated
     */
    int read(byte[] buffer) throws RequestFailedException;

    @Override
    void close();
}
