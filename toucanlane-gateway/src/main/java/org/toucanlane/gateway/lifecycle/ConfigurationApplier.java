package org.toucanlane.gateway.lifecycle;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.toucanlane.coordination.share.ShareLedger;
import org.toucanlane.domain.configuration.ConfigurationSnapshot;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.caller.KeyRing;
import org.toucanlane.gateway.configuration.ConfigurationKeeper;
import org.toucanlane.gateway.dispatch.EndpointPools;
import org.toucanlane.gateway.peer.PeerRegistry;

/** Brings each new version of the configuration to the parts of the host that act on it. Thread-safe. */
@Singleton
public final class ConfigurationApplier {

    private final String host;
    private final ConfigurationKeeper configuration;
    private final EndpointPools pools;
    private final ShareLedger ledger;
    private final PeerRegistry peers;
    private final RunningRequests running;
    private final KeyRing keys;

    /** Creates an applier. */
    @Inject
    public ConfigurationApplier(
            GatewaySettings settings,
            ConfigurationKeeper configuration,
            EndpointPools pools,
            ShareLedger ledger,
            PeerRegistry peers,
            RunningRequests running,
            KeyRing keys) {
        this.host = settings.host();
        this.configuration = configuration;
        this.pools = pools;
        this.ledger = ledger;
        this.peers = peers;
        this.running = running;
        this.keys = keys;
    }

    void apply(ConfigurationSnapshot snapshot) {
        pools.apply(snapshot.configuration());
        ledger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        running.endWithdrawn(keys::isValid);
    }

    /** Lets shares that came from other hosts be used as far as those have confirmed that they gave them up. */
    void confirmShares() {
        configuration.snapshot().ifPresent(snapshot -> {
            snapshot.shares().requiredConfirmations(host).forEach(peers::requestLink);
            ledger.apply(snapshot.shares(), peers.membership().confirmedVersions());
        });
    }
}
