package org.toucanlane.platform.endpoint;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;

/**
 * An endpoint's answer while it is being read.
 *
 * <p>Closing before the end breaks the connection, which tells the endpoint to stop. Read by one thread; may be closed
 * by another.
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

    /** Returns the type of the body. */
    public String contentType() {
        Header type = response.getFirstHeader(HttpHeaders.CONTENT_TYPE);
        return type == null ? DEFAULT_CONTENT_TYPE : type.getValue();
    }

    /**
     * Reads what has come, at least one byte.
     *
     * @return how many bytes were read, or -1 at the end of a body whose framing is whole
     * @throws IOException if the body broke off or nothing came in time
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
