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
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.toucanlane.platform.http.ServiceClients;

/** HTTP client of the platform's host list. Thread-safe. */
public final class HostListClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<List<ListedHost>> HOSTS = new TypeReference<>() {};
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 2;

    private final URI address;
    private final CloseableHttpClient client;

    /**
     * Creates a client.
     *
     * @param base base URL of the host list service
     * @param timeout connect timeout and response timeout
     */
    public HostListClient(URI base, Duration timeout) {
        this.address = URI.create(base + "/v1/hosts");
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
        return client.execute(new HttpGet(address), HostListClient::parse);
    }

    private static List<ListedHost> parse(ClassicHttpResponse response) throws IOException {
        byte[] body = EntityUtils.toByteArray(response.getEntity());
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
