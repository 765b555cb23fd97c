package org.toucanlane.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.google.common.net.HostAndPort;
import io.dropwizard.core.Configuration;
import io.dropwizard.util.Duration;
import jakarta.validation.Valid;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one host, read from a JSON file and checked at start. Read-only afterwards.
 */
public final class GatewaySettings extends Configuration {

    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";

    /** Name of the host, as in the fleet's configuration. */
    @JsonProperty
    @NotNull
    @Pattern(regexp = NAME_PATTERN)
    private String host;

    /** Name of the data centre that the host is in. */
    @JsonProperty
    @NotNull
    @Pattern(regexp = NAME_PATTERN)
    private String dataCentre;

    /** Where to listen for peers, {@code address:port}. */
    @JsonProperty
    @NotEmpty
    private String peerListen;

    /** Base address of the platform's key-value service. */
    @JsonProperty
    @NotNull
    private URI store;

    /** Base address of the platform's list of hosts. */
    @JsonProperty
    @NotNull
    private URI hostList;

    /** File with the secret under which API keys are hashed. */
    @JsonProperty
    @NotNull
    private Path keyHashSecretFile;

    /** Peers to start with while the list of hosts can't be read: {@code address:port} by name of the host. */
    @JsonProperty
    @NotNull
    private Map<String, String> seeds = Map.of();

    @JsonProperty
    @NotNull
    private Duration storeTimeout = Duration.seconds(2);

    @JsonProperty
    @NotNull
    private Duration heartbeatInterval = Duration.milliseconds(500);

    @JsonProperty
    @NotNull
    private Duration silentAfter = Duration.milliseconds(2500);

    @JsonProperty
    @NotNull
    private Duration endpointPatience = Duration.seconds(30);

    @JsonProperty
    @NotNull
    private Duration requestTimeout = Duration.seconds(60);

    @JsonProperty
    @NotNull
    private Duration announceLeaving = Duration.seconds(3);

    @JsonProperty
    @NotNull
    private Duration drainTime = Duration.seconds(120);

    @JsonProperty
    @NotNull
    private Duration keepClaims = Duration.hours(24);

    /** Whether hosts borrow from each other; without it each uses only the shares that it holds. */
    @JsonProperty
    private boolean borrowing = true;

    @JsonProperty
    @Min(1)
    private int claimShards = 16;

    @JsonProperty
    @Min(1)
    private int peerCallThreads = 512;

    @JsonProperty
    @Valid
    @NotNull
    private RoutingSettings routing = new RoutingSettings();

    @JsonProperty
    @Valid
    private PeerTlsSettings peerTls;

    /** Returns the name of the host. */
    public String host() {
        return host;
    }

    /** Returns the name of the host's data centre. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns where to listen for peers. */
    public InetSocketAddress peerListen() {
        HostAndPort address = HostAndPort.fromString(peerListen);
        return new InetSocketAddress(address.getHost(), address.getPort());
    }

    /** Returns the base address of the key-value service. */
    public URI store() {
        return store;
    }

    /** Returns the base address of the list of hosts. */
    public URI hostList() {
        return hostList;
    }

    /** Returns the file with the secret under which API keys are hashed. */
    public Path keyHashSecretFile() {
        return keyHashSecretFile;
    }

    /** Returns the peers to start with, addresses by name of the host. */
    public Map<String, String> seeds() {
        return seeds;
    }

    /** Returns the longest wait for the key-value service. */
    public java.time.Duration storeTimeout() {
        return storeTimeout.toJavaDuration();
    }

    /** Returns the time between two heartbeats to a peer. */
    public java.time.Duration heartbeatInterval() {
        return heartbeatInterval.toJavaDuration();
    }

    /** Returns after what silence a peer gets no work. */
    public java.time.Duration silentAfter() {
        return silentAfter.toJavaDuration();
    }

    /** Returns the longest wait for an endpoint's first byte, and between two pieces of its answer. */
    public java.time.Duration endpointPatience() {
        return endpointPatience.toJavaDuration();
    }

    /** Returns the deadline of requests that bring none. */
    public java.time.Duration requestTimeout() {
        return requestTimeout.toJavaDuration();
    }

    /** Returns how long a leaving host still takes requests while callers are told to go elsewhere. */
    public java.time.Duration announceLeaving() {
        return announceLeaving.toJavaDuration();
    }

    /** Returns the longest time that running requests get when the host leaves. */
    public java.time.Duration drainTime() {
        return drainTime.toJavaDuration();
    }

    /** Returns how long idempotency keys are kept. */
    public java.time.Duration keepClaims() {
        return keepClaims.toJavaDuration();
    }

    /** Returns whether this host borrows tokens from others. */
    public boolean isBorrowing() {
        return borrowing;
    }

    /** Returns the number of shards of the claim log, the same on all hosts. */
    public int claimShards() {
        return claimShards;
    }

    /** Returns how many calls of peers may run at the same time. */
    public int peerCallThreads() {
        return peerCallThreads;
    }

    /** Returns how routing weighs its terms. */
    public RoutingSettings routing() {
        return routing;
    }

    /** Returns the TLS files between hosts; without them the connections are plain. */
    public Optional<PeerTlsSettings> peerTls() {
        return Optional.ofNullable(peerTls);
    }
}
