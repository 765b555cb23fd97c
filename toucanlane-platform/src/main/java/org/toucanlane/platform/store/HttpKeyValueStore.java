package org.toucanlane.platform.store;

import com.google.common.base.Preconditions;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.util.Timeout;
import org.toucanlane.coordination.store.KeyValueStore;
import org.toucanlane.coordination.store.StoreConflictException;
import org.toucanlane.coordination.store.StoreException;
import org.toucanlane.coordination.store.VersionedValue;
import org.toucanlane.platform.http.RequestDeadline;
import org.toucanlane.platform.http.ResponseBodies;
import org.toucanlane.platform.http.ServiceClients;

/**
 * HTTP client of the platform's key-value store. Never retries a request. Thread-safe.
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {

    /** Response header that carries the revision of a key. */
    public static final String REVISION_HEADER = "X-Revision";

    private static final int MAX_CONNECTIONS = 64;

    /** Maximum size of a response; above the largest value of the store. */
    private static final int MAX_BODY_BYTES = 2 << 20;

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;
    private static final int TOO_MANY_REQUESTS = 429;

    private final URI base;
    private final Duration timeout;
    private final CloseableHttpClient client;

    private HttpKeyValueStore(URI base, Duration timeout) {
        this.base = Preconditions.checkNotNull(base, "base");
        this.timeout = timeout;
        this.client = ServiceClients.newBuilder(MAX_CONNECTIONS, timeout)
                .disableCookieManagement()
                .disableRedirectHandling()
                .build();
    }

    /**
     * Creates a client of the store at {@code base}.
     *
     * @param timeout response timeout; for a watch, its wait time is added
     */
    public static HttpKeyValueStore create(URI base, Duration timeout) {
        return new HttpKeyValueStore(base, timeout);
    }

    @Override
    public Optional<VersionedValue> get(String key) throws StoreException {
        return read(new HttpGet(uriFor(key, "")), timeout);
    }

    @Override
    public Optional<VersionedValue> watch(String key, long after, Duration wait) throws StoreException {
        String query = "?after=" + after + "&waitMillis=" + wait.toMillis();
        return read(new HttpGet(uriFor(key, query)), timeout.plus(wait));
    }

    private Optional<VersionedValue> read(HttpGet request, Duration responseTimeout) throws StoreException {
        Response response = execute(request, responseTimeout);
        return switch (response.status()) {
            case OK -> Optional.of(new VersionedValue(response.revision(), response.body()));
            case NOT_FOUND, NOT_MODIFIED -> Optional.empty();
            default -> throw StoreException.withoutEffect("the store answered " + response.status(), null);
        };
    }

    @Override
    public long compareAndSwap(String key, byte[] value, long expected) throws StoreException, StoreConflictException {
        HttpPut request = new HttpPut(uriFor(key, "?expected=" + expected));
        request.setEntity(new ByteArrayEntity(value, ContentType.APPLICATION_OCTET_STREAM));
        Response response = execute(request, timeout);
        return switch (response.status()) {
            case OK -> response.revision();
            case PRECONDITION_FAILED -> throw new StoreConflictException(key, expected, response.revision());
            case TOO_MANY_REQUESTS ->
                throw StoreException.rateLimited("the store rejected the write: rate limit exceeded");
            default -> throw StoreException.ambiguous("the store answered " + response.status(), null);
        };
    }

    private URI uriFor(String key, String query) {
        return base.resolve("/v1/kv/" + URLEncoder.encode(key, StandardCharsets.UTF_8) + query);
    }

    private Response execute(HttpUriRequestBase request, Duration responseTimeout) throws StoreException {
        request.setConfig(RequestConfig.custom()
                .setConnectionRequestTimeout(Timeout.of(timeout))
                .setResponseTimeout(Timeout.of(responseTimeout))
                .build());
        Duration maxTime = responseTimeout.plus(timeout.multipliedBy(2));
        RequestDeadline deadline = RequestDeadline.start(request, maxTime);
        try (deadline) {
            return client.execute(request, response -> toResponse(request, response));
        } catch (ConnectException | ConnectTimeoutException e) {
            throw StoreException.withoutEffect("no connection to the store", e);
        } catch (IOException e) {
            throw StoreException.ambiguous("no answer from the store", e);
        }
    }

    private static Response toResponse(HttpUriRequestBase request, ClassicHttpResponse response) throws IOException {
        Header revision = response.getFirstHeader(REVISION_HEADER);
        byte[] body = ResponseBodies.read(request, response.getEntity(), MAX_BODY_BYTES);
        return new Response(response.getCode(), revision == null ? 0 : Long.parseLong(revision.getValue()), body);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private record Response(int status, long revision, byte[] body) {}
}
