package org.toucanlane.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.UUID;
import org.toucanlane.standins.engine.EngineOptions;
import org.toucanlane.standins.plain.PlainServer;

/** A deployment of four hosts in two data centres for fault tests. Not thread-safe. */
final class FleetFixture implements AutoCloseable {

    static final String NORTH = "north-a";
    static final String SOUTH = "south-a";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

    private final Deployment deployment;
    private final CallerClient client = new CallerClient();
    private final String bigKey;
    private final String limitedKey;
    private final String southernKey;

    private FleetFixture(Deployment deployment) throws IOException, InterruptedException {
        this.deployment = deployment;
        deployment.startHosts();
        this.bigKey = deployment.issueKey("big");
        this.limitedKey = deployment.issueKey("limited");
        this.southernKey = deployment.issueKey("southern");
        Deployment.CommandResult published = deployment.runCommand(
                "publish", deployment.serviceFolders().root().toString());
        if (published.exitCode() != 0) {
            throw new IllegalStateException(published.errors());
        }
        deployment.awaitReady();
        Deployment.await("every host to hold shares of the account limits", this::bigAccountHasTokens);
    }

    static FleetFixture start(Path work) throws IOException, InterruptedException {
        return new FleetFixture(
                Deployment.prepare(Path.of("src/test/fleet"), work, EngineOptions.defaults(), JAVA_OPTIONS));
    }

    private boolean bigAccountHasTokens() throws InterruptedException {
        for (HostProcess host : deployment.hosts().values()) {
            try {
                if (sendAction(host, "warm-up", UUID.randomUUID().toString()).statusCode() != 200) {
                    return false;
                }
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    Deployment deployment() {
        return deployment;
    }

    HostProcess host(String name) {
        return deployment.hosts().get(name);
    }

    CallerClient client() {
        return client;
    }

    String bigKey() {
        return bigKey;
    }

    String limitedKey() {
        return limitedKey;
    }

    String southernKey() {
        return southernKey;
    }

    /** Requests a chat completion and returns the complete response. */
    HttpResponse<String> sendChat(HostProcess host, String key, int tokens) throws IOException, InterruptedException {
        URI address = host.callerUri().resolve("/v1/chat/completions");
        return client.send(
                CallerClient.Call.post(address, key, CallerClient.chatBody("m", "hello there", tokens, false)));
    }

    /** Requests a one-time action with an idempotency key. */
    HttpResponse<String> sendAction(HostProcess host, String name, String idempotencyKey)
            throws IOException, InterruptedException {
        URI address = host.callerUri().resolve("/services/desk/actions/" + name);
        return client.send(CallerClient.Call.post(address, bigKey, "{}").withIdempotencyKey(idempotencyKey));
    }

    /** Returns how often an action ran, summed over all plain services. */
    long actionRuns(String name) throws IOException, InterruptedException {
        long runs = 0;
        for (PlainServer plain : deployment.plainServices().values()) {
            URI stats = URI.create("http://127.0.0.1:" + plain.port() + "/stats");
            runs += JSON.readTree(deployment.get(stats).body())
                    .path("/actions/" + name)
                    .asLong();
        }
        return runs;
    }

    /** Makes every plain service respond late, or run actions without responding. */
    void setPlainServiceFaults(String query) throws IOException, InterruptedException {
        for (PlainServer plain : deployment.plainServices().values()) {
            deployment.get(URI.create("http://127.0.0.1:" + plain.port() + "/faults?" + query));
        }
    }

    /** Sets the faults that the platform injects. */
    void setPlatformFaults(String json) throws IOException, InterruptedException {
        client.send(CallerClient.Call.post(deployment.platformAddress().resolve("/faults"), "", json)
                .withoutKey());
    }

    /** Returns the {@code error} object of an error response. */
    static JsonNode error(HttpResponse<String> response) throws IOException {
        return JSON.readTree(response.body()).path("error");
    }

    @Override
    public void close() {
        deployment.close();
    }
}
