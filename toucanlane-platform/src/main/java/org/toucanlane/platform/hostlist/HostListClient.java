package org.toucanlane.platform.hostlist;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.util.Timeout;
import org.toucanlane.platform.http.RequestDeadline;
import org.toucanlane.platform.http.ResponseBodies;
import org.toucanlane.platform.http.ServiceClients;

/** HTTP client of the platform's host list. Thread-safe. */
public final class HostListClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<List<ListedHost>> HOSTS = new TypeReference<>() {};
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 2;

    /** Maximum size of the list. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final URI address;
    private final Duration maxTime;
    private final CloseableHttpClient client;

    /**
     * Creates a client.
     *
     * @param base base URL of the host list service
     * @param timeout connect timeout and response timeout
     */
    public HostListClient(URI base, Duration timeout) {
        this.address = URI.create(base + "/v1/hosts");
        this.maxTime = timeout.multipliedBy(2);
        this.client = ServiceClients.newBuilder(MAX_CONNECTIONS, timeout)
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(Timeout.of(timeout))
                        .build())
                .build();
    }

    /**
     * Fetches the current list of hosts.
     *
     * @throws IOException if the list can't be read
     */
    public List<ListedHost> hosts() throws IOException {
        HttpGet request = new HttpGet(address);
        RequestDeadline deadline = RequestDeadline.start(request, maxTime);
        try (deadline) {
            return client.execute(request, response -> parse(request, response));
        }
    }

    private static List<ListedHost> parse(HttpGet request, ClassicHttpResponse response) throws IOException {
        byte[] body = ResponseBodies.read(request, response.getEntity(), MAX_BODY_BYTES);
        if (response.getCode() != OK) {
            throw new IOException("the host list answered " + response.getCode());
        }
        return JSON.readValue(body, HOSTS);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
