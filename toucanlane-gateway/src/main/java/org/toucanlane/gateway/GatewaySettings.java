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

/** Settings of a host, read from a JSON file and validated at start-up. Read-only afterwards. */
public final class GatewaySettings extends Configuration {

    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9.-]{0,62}";

    /** Name of the host, as in the fleet configuration. */
    @JsonProperty
    @NotNull
    @Pattern(regexp = NAME_PATTERN)
    private String host;

    /** Name of the data centre of the host. */
    @JsonProperty
    @NotNull
    @Pattern(regexp = NAME_PATTERN)
    private String dataCentre;

    /** Address on which to listen for peers, as {@code address:port}. */
    @JsonProperty
    @NotEmpty
    private String peerListen;

    /** Base URI of the platform's key-value service. */
    @JsonProperty
    @NotNull
    private URI store;

    /** Base URI of the platform's host list. */
    @JsonProperty
    @NotNull
    private URI hostList;

    /** File with the secret for hashing API keys. */
    @JsonProperty
    @NotNull
    private Path keyHashSecretFile;

    /** Peers to connect to at start-up, in case the host list is unavailable: {@code address:port} by host name. */
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

    /** Whether the host borrows tokens from other hosts; if false, it uses only the shares that it holds. */
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

    /** Returns the name of the data centre of the host. */
    public String dataCentre() {
        return dataCentre;
    }

    /** Returns the address on which to listen for peers. */
    public InetSocketAddress peerListen() {
        HostAndPort address = HostAndPort.fromString(peerListen);
        return new InetSocketAddress(address.getHost(), address.getPort());
    }

    /** Returns the base URI of the key-value service. */
    public URI store() {
        return store;
    }

    /** Returns the base URI of the host list. */
    public URI hostList() {
        return hostList;
    }

    /** Returns the file with the secret for hashing API keys. */
    public Path keyHashSecretFile() {
        return keyHashSecretFile;
    }

    /** Returns the addresses of the seed peers by host name. */
    public Map<String, String> seeds() {
        return seeds;
    }

    /** Returns the timeout of requests to the key-value service and to the host list. */
    public java.time.Duration storeTimeout() {
        return storeTimeout.toJavaDuration();
    }

    /** Returns the base interval between heartbeats to a peer. */
    public java.time.Duration heartbeatInterval() {
        return heartbeatInterval.toJavaDuration();
    }

    /** Returns the minimum time without a heartbeat after which a peer is sent no work. */
    public java.time.Duration silentAfter() {
        return silentAfter.toJavaDuration();
    }

    /** Returns the read timeout for an endpoint's response: for its first byte and between two chunks. */
    public java.time.Duration endpointPatience() {
        return endpointPatience.toJavaDuration();
    }

    /** Returns the timeout of requests that specify none. */
    public java.time.Duration requestTimeout() {
        return requestTimeout.toJavaDuration();
    }

    /** Returns how long a leaving host still accepts requests while it directs callers to other hosts. */
    public java.time.Duration announceLeaving() {
        return announceLeaving.toJavaDuration();
    }

    /** Returns the maximum time for running requests to complete when the host leaves. */
    public java.time.Duration drainTime() {
        return drainTime.toJavaDuration();
    }

    /** Returns how long idempotency keys are retained. */
    public java.time.Duration keepClaims() {
        return keepClaims.toJavaDuration();
    }

    /** Returns whether this host borrows tokens from other hosts. */
    public boolean isBorrowing() {
        return borrowing;
    }

    /** Returns the number of shards of the claim log, which must be the same on all hosts. */
    public int claimShards() {
        return claimShards;
    }

    /** Returns the maximum number of concurrent calls from peers. */
    public int peerCallThreads() {
        return peerCallThreads;
    }

    /** Returns the settings of the routing weights. */
    public RoutingSettings routing() {
        return routing;
    }

    /** Returns the settings for TLS between hosts; if empty, the connections are not encrypted. */
    public Optional<PeerTlsSettings> peerTls() {
        return Optional.ofNullable(peerTls);
    }
}
