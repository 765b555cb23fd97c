package org.toucanlane.platform.endpoint;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;

/**
 * An endpoint's response whose body is read as a stream.
 *
 * <p>Closing before the end of the body aborts the connection, which signals the endpoint to stop. Must be read by one
 * thread only; may be closed by another.
 */
public final class EndpointResponse implements AutoCloseable {

    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    private final HttpUriRequestBase request;
    private final ClassicHttpResponse response;
    private final InputStream body;
    private boolean fullyRead;

    EndpointResponse(HttpUriRequestBase request, ClassicHttpResponse response) throws IOException {
        this.request = request;
        this.response = response;
        this.body = response.getEntity() == null
                ? InputStream.nullInputStream()
                : response.getEntity().getContent();
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.getCode();
    }

    /** Returns the content type of the body. */
    public String contentType() {
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return type == null ? DEFAULT_CONTENT_TYPE : type.getValue();
    }

    /**
     * Reads the available bytes, blocking until there is at least one.
     *
     * @return number of bytes read, or -1 at the end of a completely framed body
     * @throws IOException if the body is truncated or the response timeout expires
     */
    public int read(byte[] buffer) throws IOException {
        int count = body.read(buffer);
        if (count < 0) {
            fullyRead = true;
        }
        return count;
    }

    @Override
    public void close() {
        if (!fullyRead) {
            request.abort();
        }
        try {
            response.close();
        } catch (IOException ignored) {
            request.abort();
        }
    }
}
