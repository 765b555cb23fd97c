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
import org.toucanlane.gateway.peer.PeerHub;
import org.toucanlane.platform.hostlist.ListedHost;

/**
 * Which hosts a client account should use.
 *
 * <p>Names only hosts in the account's residency that take work: those that hold a share of its limit first, largest
 * share first, so that most requests need no loan and find warm caches; then the others, in an order of their own for
 * each account. Changes only with the configuration and with hosts that come and go. Thread-safe.
 */
@Singleton
public final class HostDirectory {

    private static final long CACHE_LIFETIME_MILLIS = 30_000;

    private final String hostName;
    private final ConfigurationManager configuration;
    private final PeerHub peers;
    private final HostPhase hostPhase;

    /** Creates a directory. */
    @Inject
    public HostDirectory(GatewaySettings settings, ConfigurationManager configuration, PeerHub peers, HostPhase phase) {
        this.hostName = settings.host();
        this.configuration = configuration;
        this.peers = peers;
        this.hostPhase = phase;
    }

    /**
     * Returns the hosts for {@code account}, best first.
     *
     * @throws RequestFailedException if there is no configuration
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
                : peers.mayTakeCallers(host.name());
    }

    /**
     * An answer to a caller.
     *
     * @param hosts best first
     * @param lifetimeMillis for how long the caller may keep the answer
     */
    public record Listing(List<Entry> hosts, long lifetimeMillis) {}

    /** A host that takes work. */
    public record Entry(String host, String dataCentre, String address) {}
}
