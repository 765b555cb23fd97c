package org.toucanlane.gateway.peer;

import com.google.common.net.HostAndPort;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.toucanlane.coordination.clock.MonotonicClock;
import org.toucanlane.coordination.membership.Member;
import org.toucanlane.coordination.membership.MemberState;
import org.toucanlane.coordination.membership.MembershipView;
import org.toucanlane.gateway.GatewaySettings;
import org.toucanlane.platform.hostlist.ListedHost;
import org.toucanlane.wire.PeerIdentity;
import org.toucanlane.wire.PeerLink;
import org.toucanlane.wire.PeerNode;
import org.toucanlane.wire.proto.Heartbeat;

/**
 * The links to other hosts and the state of those hosts according to their heartbeats and the platform's host list.
 *
 * <p>A peer is sent work only while its heartbeats arrive, its link is connected, and neither its heartbeats nor the host
 * list mark it as leaving. Thread-safe.
 */
@Singleton
public final class PeerRegistry {

    private static final long LINK_REQUEST_NANOS = TimeUnit.MINUTES.toNanos(1);
    private static final double DEFAULT_ROUND_TRIP_MILLIS = 110;

    private final PeerIdentity self;
    private final Map<String, String> seeds;
    private final MembershipView membership;
    private final Duration heartbeatInterval;
    private final Map<String, Long> linkRequests = new ConcurrentHashMap<>();
    private final Map<String, Heartbeat> heartbeats = new ConcurrentHashMap<>();
    private volatile Map<String, ListedHost> listed = Map.of();
    private volatile PeerNode node;

    /** Creates a registry without links. */
    @Inject
    public PeerRegistry(PeerIdentity self, GatewaySettings settings) {
        this.self = self;
        this.seeds = Map.copyOf(settings.seeds());
        this.heartbeatInterval = settings.heartbeatInterval();
        this.membership = new MembershipView(MonotonicClock.system(), settings.silentAfter());
    }

    /** Starts using {@code started} for links and connects to the seeds. */
    public void start(PeerNode started) {
        node = started;
        seeds.forEach((host, address) -> {
            if (!host.equals(self.host())) {
                started.connect(host, toAddress(address), heartbeatInterval);
            }
        });
    }

    /**
     * Applies the platform's host list: connects to the hosts in the {@link LinkPlan}, which includes the recently
     * requested links, and disconnects from other hosts that are listed or do not accept work.
     */
    public void listed(List<ListedHost> hosts) {
        listed = hosts.stream().collect(Collectors.toUnmodifiableMap(ListedHost::name, host -> host));
        PeerNode links = node;
        if (links == null) {
            return;
        }
        long now = System.nanoTime();
        linkRequests.values().removeIf(until -> until - now < 0);
        Map<String, Duration> plan = planLinks(hosts);
        plan.forEach((host, interval) ->
                links.connect(host, toAddress(listed.get(host).peerAddress()), interval));
        links.peers().stream()
                .filter(peer -> !plan.containsKey(peer))
                .filter(peer ->
                        listed.containsKey(peer) || !membership.state(peer).acceptsWork())
                .forEach(links::disconnect);
    }

    private Map<String, Duration> planLinks(List<ListedHost> hosts) {
        Map<String, List<String>> byDataCentre = hosts.stream()
                .collect(Collectors.groupingBy(
                        ListedHost::dataCentre, Collectors.mapping(ListedHost::name, Collectors.toList())));
        return LinkPlan.heartbeatIntervals(
                self.host(), self.dataCentre(), byDataCentre, linkRequests.keySet(), heartbeatInterval);
    }

    /** Requests a link to {@code host} outside the regular plan, for a minute. The link is established asynchronously. */
    public void requestLink(String host) {
        boolean isNew = linkRequests.put(host, System.nanoTime() + LINK_REQUEST_NANOS) == null;
        ListedHost entry = listed.get(host);
        PeerNode links = node;
        if (isNew && entry != null && links != null && links.link(host).isEmpty()) {
            links.connect(host, toAddress(entry.peerAddress()), heartbeatInterval);
        }
    }

    private static InetSocketAddress toAddress(String text) {
        HostAndPort address = HostAndPort.fromString(text);
        return new InetSocketAddress(address.getHost(), address.getPort());
    }

    /** Records a heartbeat unless it was sent by a replaced process of that host. */
    public void recordHeartbeat(PeerIdentity from, Heartbeat heartbeat) {
        boolean current = membership.observe(new Member(
                from.host(),
                from.dataCentre(),
                from.incarnation(),
                heartbeat.getConfigurationVersion(),
                heartbeat.getLeaving(),
                TimeUnit.MILLISECONDS.toNanos(heartbeat.getIntervalMillis()),
                System.nanoTime()));
        if (current) {
            heartbeats.put(from.host(), heartbeat);
        }
    }

    /** Returns the membership view, built from heartbeats. */
    public MembershipView membership() {
        return membership;
    }

    /** Returns the platform's latest host list, by host name. */
    public Map<String, ListedHost> listed() {
        return listed;
    }

    /** Returns whether {@code host} accepts work according to its heartbeats and the host list. */
    public boolean acceptsWork(String host) {
        return membership.state(host) == MemberState.ALIVE && !isListedAsLeaving(host);
    }

    private boolean isListedAsLeaving(String host) {
        ListedHost entry = listed.get(host);
        return entry != null && entry.leaving();
    }

    /**
     * Returns whether callers may be directed to {@code host}: it accepts work, or it is on the host list but has sent no
     * heartbeat yet.
     */
    public boolean acceptsCallers(String host) {
        MemberState state = membership.state(host);
        boolean onlyListed = state == MemberState.UNKNOWN && listed.containsKey(host);
        return (state.acceptsWork() || onlyListed) && !isListedAsLeaving(host);
    }

    /** Returns the link to {@code host} if its handshake is complete. */
    public Optional<PeerLink> link(String host) {
        PeerNode links = node;
        return links == null ? Optional.empty() : links.link(host).filter(PeerLink::isConnected);
    }

    /** Returns a link to a host of {@code dataCentre} that accepts work: the less loaded of two random choices. */
    public Optional<PeerLink> selectLink(String dataCentre) {
        List<PeerLink> candidates = membership.membersAcceptingWork(dataCentre).stream()
                .filter(member -> acceptsWork(member.host()))
                .flatMap(member -> link(member.host()).stream())
                .toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PeerLink first = candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
        PeerLink second = candidates.get(ThreadLocalRandom.current().nextInt(candidates.size()));
        return Optional.of(runningCalls(first) <= runningCalls(second) ? first : second);
    }

    private int runningCalls(PeerLink link) {
        Heartbeat heartbeat = heartbeats.get(link.peer());
        return heartbeat == null ? 0 : heartbeat.getRunningCalls();
    }

    /** Returns the shortest known round-trip time to {@code dataCentre}, in milliseconds, or a default if none is known. */
    public double roundTripMillis(String dataCentre) {
        return membership.membersAcceptingWork(dataCentre).stream()
                .flatMap(member -> link(member.host()).stream())
                .map(link -> link.roundTrip().toNanos() / 1e6)
                .filter(millis -> millis > 0)
                .min(Comparator.naturalOrder())
                .orElse(DEFAULT_ROUND_TRIP_MILLIS);
    }
}
