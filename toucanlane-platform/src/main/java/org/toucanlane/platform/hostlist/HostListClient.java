package org.toucanlane.platform.hostlist;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/** HTTP client of the platform's host list. Thread-safe. */
public final class HostListClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final TypeReference<List<ListedHost>> HOSTS = new TypeReference<>() {};
    private static final int OK = 200;

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
        this.client = HttpClients.custom()
                .setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
                        .setDefaultConnectionConfig(ConnectionConfig.custom()
                                .setConnectTimeout(Timeout.of(timeout))
                                .build())
                        .build())
                .setDefaultRequestConfig(RequestConfig.custom()
                        .setResponseTimeout(Timeout.of(timeout))
                        .build())
                .disableAutomaticRetries()
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
