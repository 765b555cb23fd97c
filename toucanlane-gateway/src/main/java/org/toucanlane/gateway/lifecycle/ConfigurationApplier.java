package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.caller.ApiKeyAuthenticator;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.peer.PeerRegistry;

/** Applies each new configuration version to the components of this host that depend on it. Thread-safe. */
@Singleton
public final class ConfigurationApplier {

    private final String hostName;
    private final ConfigurationManager configuration;
    private final EndpointPools pools;
    private final ShareLedger shareLedger;
    private final PeerRegistry peers;
    private final RunningRequests runningRequests;
    private final ApiKeyAuthenticator authenticator;

    /** Creates an applier. */
    @Inject
    public ConfigurationApplier(
            GatewaySettings settings,
            ConfigurationManager configuration,
            EndpointPools pools,
            ShareLedger shareLedger,
            PeerRegistry peers,
            RunningRequests runningRequests,
            ApiKeyAuthenticator authenticator) {
        this.hostName = settings.host();
        this.configuration = configuration;
        this.pools = pools;
        this.shareLedger = shareLedger;
        this.peers = peers;
        this.runningRequests = runningRequests;
        this.authenticator = authenticator;
    }

    void apply(ConfigurationSnapshot snapshot) {
        pools.apply(snapshot.configuration());
        shareLedger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        runningRequests.cancelRevoked(authenticator::isValid);
    }

    /**
     * Enables shares that moved here from other hosts, as far as those hosts have confirmed that they no longer use
     * them.
     */
    void applyConfirmedShares() {
        configuration.snapshot().ifPresent(snapshot -> {
            snapshot.shares().requiredConfirmations(hostName).forEach(peers::requestLink);
            shareLedger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        });
    }
}
