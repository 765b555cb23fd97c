package org.toucanlane.platform.http;

import com.google.common.io.ByteStreams;
import java.io.IOException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.HttpEntity;

/**
 * Reads the bodies of small responses.
 *
 * <p>Stateless and thread-safe.
 */
public final class ResponseBodies {

    private ResponseBodies() {}

    /**
     * Returns the body of a response. If it is too large, {@code request} is aborted, since closing the body would read the
     * remainder.
     *
     * @param entity the body, or null if the response has none
     * @param maxBytes maximum size of the body
     * @throws IOException if the body is larger, incomplete or can't be read
     */
    public static byte[] read(HttpUriRequestBase request, HttpEntity entity, int maxBytes) throws IOException {
        if (entity == null) {
            return new byte[0];
        }
        byte[] body = ByteStreams.limit(entity.getContent(), maxBytes + 1L).readAllBytes();
        if (body.length > maxBytes) {
            request.abort();
            throw new IOException("response exceeds the limit of " + maxBytes + " bytes");
        }
        return body;
    }
}
