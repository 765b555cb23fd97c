package org.toucanlane.gateway.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.toucanlane.coordination.hash.RendezvousHash;
import org.toucanlane.coordination.share.HostShare;
import org.toucanlane.domain.account.ClientAccount;
import org.toucanlane.domain.outcome.RequestFailedException;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.gateway.configuration.ConfigurationManager;
import org.toucanlane.gateway.lifecycle.HostPhase;
import org.toucanlane.gateway.peer.PeerRegistry;
import org.toucanlane.platform.hostlist.ListedHost;

/**
 * Selects the hosts that a client account should use.
 *
 * <p>Lists only hosts that accept work in data centres permitted by the account's residency. Hosts that hold a share of
 * its limit come first, in descending order of share, so that most requests need no loan and reach warm caches. The
 * other hosts follow in an order that is specific to the account (rendezvous hashing). The list changes only with the
 * configuration and with the set of available hosts. Thread-safe.
 */
@Singleton
public final class HostDirectory {

    private static final long CACHE_LIFETIME_MILLIS = 30_000;

    private final String hostName;
    private final ConfigurationManager configuration;
    private final PeerRegistry peers;
    private final HostPhase hostPhase;

    /** Creates a directory. */
    @Inject
    public HostDirectory(
            GatewaySettings settings, ConfigurationManager configuration, PeerRegistry peers, HostPhase hostPhase) {
        this.hostName = settings.host();
        this.configuration = configuration;
        this.peers = peers;
        this.hostPhase = hostPhase;
    }

    /**
     * Returns the hosts for {@code account}, in order of preference.
     *
     * @throws RequestFailedException if this host has no configuration yet
     */
    public Listing listFor(ClientAccount account) throws RequestFailedException {
        Map<String, Long> bursts = configuration.current().shares().holders(account.name()).stream()
                .collect(
                        Collectors.toMap(HostShare::host, share -> share.limit().burstTokens(), Long::sum));
        Comparator<ListedHost> byShare = Comparator.comparingLong(host -> -bursts.getOrDefault(host.name(), 0L));
        Comparator<ListedHost> byHash =
                Comparator.comparingLong(host -> -RendezvousHash.weight(account.name(), host.name()));
        List<Entry> hosts = peers.listed().values().stream()
                .filter(host -> account.allowedDataCentres().contains(host.dataCentre()))
                .filter(this::isAcceptingWork)
                .sorted(byShare.thenComparing(byHash))
                .map(host -> new Entry(host.name(), host.dataCentre(), host.callerAddress()))
                .toList();
        return new Listing(hosts, CACHE_LIFETIME_MILLIS);
    }

    private boolean isAcceptingWork(ListedHost host) {
        return host.name().equals(hostName)
                ? !hostPhase.isLeaving() && !host.leaving()
                : peers.acceptsCallers(host.name());
    }

    /**
     * The list of hosts returned to a caller.
     *
     * @param hosts the hosts, in order of preference
     * @param lifetimeMillis how long the caller may cache the list
     */
    public record Listing(List<Entry> hosts, long lifetimeMillis) {}

    /** A host that accepts work. */
    public record Entry(String host, String dataCentre, String address) {}
}
