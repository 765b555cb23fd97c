package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.caller.ApiKeyAuthenticator;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.peer.PeerHub;

/** Brings each new version of the configuration to the parts of the host that act on it. Thread-safe. */
@Singleton
public final class ConfigurationApplier {

    private final String hostName;
    private final ConfigurationManager configuration;
    private final EndpointPools pools;
    private final ShareLedger shareLedger;
    private final PeerHub peers;
    private final RunningRequests runningRequests;
    private final ApiKeyAuthenticator authenticator;

    /** Creates an applier. */
    @Inject
    public ConfigurationApplier(
            GatewaySettings settings,
            ConfigurationManager configuration,
            EndpointPools pools,
            ShareLedger ledger,
            PeerHub peers,
            RunningRequests running,
            ApiKeyAuthenticator keys) {
        this.hostName = settings.host();
        this.configuration = configuration;
        this.pools = pools;
        this.shareLedger = ledger;
        this.peers = peers;
        this.runningRequests = running;
        this.authenticator = keys;
    }

    void apply(ConfigurationSnapshot snapshot) {
        pools.apply(snapshot.configuration());
        shareLedger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        runningRequests.cancelRevoked(authenticator::isValid);
    }

    /** Lets shares that came from other hosts be used as far as those have confirmed that they gave them up. */
    void applyConfirmedShares() {
        configuration.snapshot().ifPresent(snapshot -> {
            snapshot.shares().requiredConfirmations(hostName).forEach(peers::want);
            shareLedger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        });
    }
}
