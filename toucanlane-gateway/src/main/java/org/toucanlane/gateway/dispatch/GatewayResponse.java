package org.toucanlane.gateway.dispatch;

import org.toucanlane.domain.outcome.RequestFailedException;

/**
 * An answer while it is being read.
 *
 * <p>Closing before the end tells whoever answers to stop. Read by one thread; may be closed by another, and more than
 * once.
 */
public interface GatewayResponse extends AutoCloseable {

    /** Returns the HTTP status. */
    int status();

    /** Returns the type of the body. */
    String contentType();

    /** Returns the name of the data centre that answers. */
    String dataCentre();

    /**
     * Reads what has come, at least one byte.
     *
     * @return how many bytes were read, or -1 after the last one of a whole answer
     * @throws RequestFailedException if the answer broke off
     */
    int read(byte[] buffer) throws RequestFailedException;

    @Override
    void close();
}
