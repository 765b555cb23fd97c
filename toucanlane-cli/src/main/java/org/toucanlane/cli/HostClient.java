package org.toucanlane.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;

/** HTTP client for the admin ports of hosts. Thread-safe. */
final class HostClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(10);

    private final CloseableHttpClient client =
            HttpClients.custom().disableAutomaticRetries().build();

    JsonNode status(URI admin) throws IOException {
        return execute(new HttpGet(URI.create(admin + "/status")), TIMEOUT);
    }

    JsonNode explain(URI admin, String query) throws IOException {
        return execute(new HttpGet(URI.create(admin + "/explain?" + query)), TIMEOUT);
    }

    JsonNode drain(URI admin) throws IOException {
        return execute(new HttpPost(URI.create(admin + "/drain")), DRAIN_TIMEOUT);
    }

    private JsonNode execute(HttpUriRequestBase request, Duration timeout) throws IOException {
        request.setConfig(
                RequestConfig.custom().setResponseTimeout(Timeout.of(timeout)).build());
        return client.execute(request, response -> {
            String body = EntityUtils.toString(response.getEntity());
            if (response.getCode() != 200) {
                throw new IOException(request.getRequestUri() + " answered " + response.getCode() + ": " + body);
            }
            return JSON.readTree(body);
        });
    }

    /**
     * Returns the latest configuration version known for each host. Combines the replies of all addresses that respond,
     * since each host also reports the versions of its peers.
     */
    Map<String, Long> confirmedVersions(List<URI> admins) {
        Map<String, Long> versions = new HashMap<>();
        for (URI admin : admins) {
            try {
                JsonNode status = status(admin);
                versions.merge(
                        status.path("host").asText(),
                        status.path("configurationVersion").asLong(),
                        Math::max);
                status.path("peers")
                        .forEach(peer -> versions.merge(
                                peer.path("host").asText(),
                                peer.path("configurationVersion").asLong(),
                                Math::max));
            } catch (IOException ignored) {
                // Hosts that do not respond are skipped; their peers may report their versions.
            }
        }
        return versions;
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
