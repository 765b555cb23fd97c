package org.toucanlane.platform.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.net.UnknownHostException;
import java.time.Duration;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.Timeout;
import org.toucanlane.platform.http.RequestDeadline;
import org.toucanlane.platform.http.ServiceClients;

/**
 * Sends HTTP requests to endpoints.
 *
 * <p>Invariants: a request is sent at most once; no caller headers are forwarded except those listed in
 * {@link EndpointRequest}; each request has a connection of its own. Thread-safe.
 */
public final class EndpointClient implements AutoCloseable {

    /** Header that carries the request id. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    /** Marks requests that passed through this gateway, for loop detection (RFC 9110, section 7.6.3). */
    private static final String VIA = "1.1 toucanlane";

    private static final int MAX_CONNECTIONS = 4096;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Covers the waits for a free connection and for the connection to be established. */
    private static final Duration MAX_CONNECT_TIME = CONNECT_TIMEOUT.multipliedBy(2);

    private final CloseableHttpClient client = ServiceClients.newBuilder(MAX_CONNECTIONS, CONNECT_TIMEOUT)
            .disableCookieManagement()
            .disableRedirectHandling()
            .disableAuthCaching()
            .disableContentCompression()
            .disableDefaultUserAgent()
            .build();

    /**
     * Sends a request and returns once the head of the response was received. The caller must close the response.
     *
     * @throws EndpointException if no response was received
     */
    public EndpointResponse send(EndpointRequest request) throws EndpointException {
        HttpUriRequestBase http = toHttpRequest(request);
        RequestDeadline deadline =
                RequestDeadline.start(http, request.responseTimeout().plus(MAX_CONNECT_TIME));
        try (deadline) {
            ClassicHttpResponse response = client.executeOpen(null, http, null);
            return new EndpointResponse(http, response);
        } catch (ConnectException
                | ConnectTimeoutException
                | ConnectionRequestTimeoutException
                | NoRouteToHostException
                | UnknownHostException e) {
            throw new EndpointException(EndpointException.Reason.NOT_SENT, "no connection to the endpoint", e);
        } catch (SocketTimeoutException e) {
            throw new EndpointException(EndpointException.Reason.TIMED_OUT, "the endpoint did not answer in time", e);
        } catch (IOException e) {
            if (deadline.isExpired()) {
                throw new EndpointException(
                        EndpointException.Reason.TIMED_OUT, "the endpoint's response head was incomplete in time", e);
            }
            throw new EndpointException(EndpointException.Reason.FAILED, "the connection to the endpoint failed", e);
        }
    }

    private static HttpUriRequestBase toHttpRequest(EndpointRequest request) {
        HttpUriRequestBase http = new HttpUriRequestBase(request.method(), request.address());
        http.setHeader(REQUEST_ID_HEADER, request.requestId());
        http.setHeader(HttpHeaders.VIA, VIA);
        if (!request.accept().isEmpty()) {
            http.setHeader(HttpHeaders.ACCEPT, request.accept());
        }
        if (request.body().length > 0) {
            ContentType type = request.contentType().isEmpty()
                    ? ContentType.APPLICATION_OCTET_STREAM
                    : ContentType.parseLenient(request.contentType());
            http.setEntity(new ByteArrayEntity(request.body(), type));
        }
        http.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.of(CONNECT_TIMEOUT))
                .setResponseTimeout(Timeout.of(request.responseTimeout()))
                .build());
        return http;
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
