package org.toucanlane.edge.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.EndpointUsage;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.fleet.PromptSegment;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUsage;
import org.toucanlane.edge.state.StoreMirror;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.relay.RelayChooser;

/**
 * Exchanges reports between hosts, as datagrams: what is lost is told anew in the next round.
 *
 * <p>Each host tells the relays of its region what it has running. A relay tells the other hosts of its region the sum,
 * and what it has heard of other regions, and tells the relays of other regions its own region's sum. So what a host
 * sends and takes does not grow with the number of hosts, except at relays, where it grows with their region. Used on the
 * host's event loop only.
 */
public final class Gossip implements AccountLimiter.ShareSource {

    /** Time between rounds: a few requests are sent to an endpoint meanwhile. */
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);

    /** Hosts above which only every second round is used, since each host then has few requests of its own. */
    private static final int FULL_RATE_MAX_HOSTS = 16;

    /** Rounds for which an endpoint without requests is still reported, so that its end is heard. */
    private static final int IDLE_ROUNDS = 10;

    /** Bytes of one datagram, so that it fits into an Ethernet frame. */
    private static final int MAX_DATAGRAM_BYTES = 1_300;

    /** Endpoints in one part of a report, which is never split further. */
    private static final int MAX_ENDPOINTS_PER_PART = 40;

    /** Relays that tell others what they have gathered; where there are more, all others are relays too. */
    private static final int MAX_AGGREGATORS = 2;

    /** Rounds between two reports to other regions, and of other regions: they matter less, and the links cost. */
    private static final int REMOTE_REGION_ROUNDS = 2;

    private final EventLoop loop;
    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final StoreMirror mirror;
    private final SentReports sent = new SentReports();
    private final ReceivedReports received;
    private final SegmentAnnouncements segmentAnnouncements = new SegmentAnnouncements();
    private final Map<Integer, Integer> idleRounds = new HashMap<>();
    private final Set<String> silentHosts = new HashSet<>();
    private final Map<String, AccountShare> sharesByAccount = new HashMap<>();
    private AccountLimiter limiter;
    private Channel channel;
    private List<String> relays = List.of();
    private boolean isRelay;
    private long ticks;
    private long rounds;

    /** Creates a service that sends nothing yet. */
    public Gossip(EventLoop loop, Fleet fleet, DecisionLog log, HostRecord self, StoreMirror mirror) {
        this.loop = loop;
        this.fleet = fleet;
        this.log = log;
        this.self = self;
        this.mirror = mirror;
        this.received = new ReceivedReports(fleet, self.region(), self.name(), sent);
    }

    /**
     * Listens and begins to send.
     *
     * @throws IOException if the port can't be bound
     */
    public void start(AccountLimiter accounts) throws IOException {
        limiter = accounts;
        Bootstrap bootstrap =
                new Bootstrap().group(loop).channel(NioDatagramChannel.class).handler(new Receiver());
        ChannelFuture bound = bootstrap
                .bind(new InetSocketAddress(self.address(), self.gossipPort()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on port " + self.gossipPort(), bound.cause());
        }
        channel = bound.channel();
        loop.scheduleAtFixedRate(
                this::runRound, ROUND_INTERVAL.toMillis(), ROUND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void runRound() {
        sharesByAccount.clear();
        boolean skipped = fleet.hosts().size() > FULL_RATE_MAX_HOSTS && ticks++ % 2 != 0;
        if (skipped) {
            return;
        }
        long now = System.nanoTime();
        rounds++;
        received.removeExpired(now);
        updateSilentHosts(now);
        Map<String, List<HostHandle>> byRegion = fleet.hosts().stream()
                .collect(Collectors.groupingBy(host -> host.entry().region()));
        List<HostHandle> near = byRegion.getOrDefault(self.region(), List.of());
        chooseRelays(near);
        Map<String, AccountUsage> ownUses = limiter.usage();
        sendOwnReport(near, ownUses, now);
        if (isRelay) {
            sendAggregatedReport(near, byRegion, ownUses, now);
        }
        segmentAnnouncements.nextRound();
        idleRounds.keySet().removeIf(tag -> fleet.endpointByTag(tag).isEmpty());
    }

    private void updateSilentHosts(long now) {
        silentHosts.removeIf(name -> fleet.host(name).isEmpty());
        fleet.hosts().stream().filter(HostHandle::hasEverReported).forEach(host -> {
            String name = host.entry().name();
            if (!isAlive(host, now) && silentHosts.add(name)) {
                log.belief("host_silent", "host", name);
            } else if (isAlive(host, now) && silentHosts.remove(name)) {
                log.belief("host_heard_again", "host", name);
            }
        });
    }

    private void chooseRelays(List<HostHandle> near) {
        List<String> chosen =
                relayNames(Stream.concat(Stream.of(self), near.stream().map(HostHandle::entry)));
        if (!chosen.equals(relays)) {
            relays = chosen;
            boolean now = chosen.contains(self.name());
            if (now != isRelay) {
                received.clearOwnRegion();
            }
            isRelay = now;
            mirror.setFollower(!chosen.get(0).equals(self.name()));
            log.belief("relays_chosen", "region", self.region(), "relays", chosen, "self", isRelay);
        }
    }

    private void sendOwnReport(List<HostHandle> near, Map<String, AccountUsage> ownUses, long now) {
        Map<Integer, EndpointUsage> loads = endpointUsage(endpoint -> endpoint.localUsage(now), !isRelay);
        Map<String, AccountUsage> uses = topByDemand(ownUses);
        sent.add(new SentReports.SentReport(rounds, now, loads, uses));
        List<HostHandle> receivers = near.stream()
                .filter(host -> relays.contains(host.entry().name()))
                .toList();
        if (!receivers.isEmpty()) {
            RegionReport whole = new RegionReport(
                    self.region(),
                    0,
                    true,
                    Set.of(HostHandle.tagOf(self.name())),
                    loads,
                    uses,
                    segmentAnnouncements.pending(this::isInOwnRegion));
            packDatagrams(split(whole)).forEach(regions -> send(regions, false, receivers));
        }
    }

    /** Tells other hosts of the region the sum, by turns with the other relay, and the relays of other regions too. */
    private void sendAggregatedReport(
            List<HostHandle> near,
            Map<String, List<HostHandle>> byRegion,
            Map<String, AccountUsage> ownUses,
            long now) {
        int turn = relays.indexOf(self.name());
        int turns = Math.min(relays.size(), MAX_AGGREGATORS);
        if (turn >= turns) {
            return;
        }
        ReceivedReports.RegionView others = received.ownRegion(now);
        Set<Integer> hosts = new HashSet<>(others.hosts());
        hosts.add(HostHandle.tagOf(self.name()));
        Map<String, AccountUsage> uses = new HashMap<>(others.accountUsage());
        ownUses.forEach((account, use) -> uses.merge(account, use, AccountUsage::plus));
        RegionReport whole = new RegionReport(
                self.region(),
                0,
                true,
                hosts,
                endpointUsage(endpoint -> endpoint.totalUsage(now), true),
                topByDemand(uses),
                segmentAnnouncements.pending(this::isInOwnRegion));
        List<RegionReport> own = split(whole);
        List<HostHandle> members = near.stream()
                .filter(host -> !relays.contains(host.entry().name()))
                .toList();
        if (!members.isEmpty() && rounds % turns == turn) {
            boolean withFar = rounds / turns % REMOTE_REGION_ROUNDS == turn % REMOTE_REGION_ROUNDS;
            List<RegionReport> all = withFar
                    ? Stream.concat(own.stream(), remoteRegionReports(now).stream())
                            .toList()
                    : own;
            packDatagrams(all).forEach(regions -> send(regions, true, members));
        }
        if (rounds % (turns * REMOTE_REGION_ROUNDS) == (long) turn * REMOTE_REGION_ROUNDS) {
            List<HostHandle> farRelays = byRegion.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(self.region()))
                    .flatMap(entry -> relaysOf(entry.getValue()))
                    .toList();
            packDatagrams(own).forEach(regions -> send(regions, true, farRelays));
        }
    }

    private static Stream<HostHandle> relaysOf(List<HostHandle> hosts) {
        List<String> names = relayNames(hosts.stream().map(HostHandle::entry));
        return hosts.stream().filter(host -> names.contains(host.entry().name()));
    }

    private static List<String> relayNames(Stream<HostRecord> hosts) {
        return RelayChooser.choose(hosts.map(host -> new RelayChooser.Candidate(host.name(), host.weight()))
                .toList());
    }

    private List<RegionReport> remoteRegionReports(long now) {
        return received.remoteRegions().entrySet().stream()
                .flatMap(entry -> {
                    String source = ReceivedReports.remoteSource(entry.getKey());
                    Map<Integer, EndpointUsage> loads = new HashMap<>();
                    fleet.endpoints()
                            .forEach(endpoint ->
                                    endpoint.remoteUsage(source).ifPresent(load -> loads.put(endpoint.tag(), load)));
                    ReceivedReports.RegionView view = entry.getValue();
                    return split(new RegionReport(
                                    entry.getKey(),
                                    TimeUnit.NANOSECONDS.toMillis(now - view.reportedAt()),
                                    true,
                                    view.hosts(),
                                    loads,
                                    view.accountUsage(),
                                    segmentAnnouncements.pending(tag -> isInRegion(tag, entry.getKey()))))
                            .stream();
                })
                .toList();
    }

    private boolean isInOwnRegion(int tag) {
        return isInRegion(tag, self.region());
    }

    private boolean isInRegion(int tag, String region) {
        return fleet.endpointByTag(tag)
                .filter(endpoint -> fleet.regionOf(endpoint).equals(region))
                .isPresent();
    }

    /** Returns the loads of this region's endpoints that have requests, or had some a few rounds ago. */
    private Map<Integer, EndpointUsage> endpointUsage(Function<EndpointHandle, EndpointUsage> loadOf, boolean counts) {
        Map<Integer, EndpointUsage> loads = new HashMap<>();
        fleet.endpoints().stream()
                .filter(endpoint -> fleet.regionOf(endpoint).equals(self.region()))
                .forEach(endpoint -> {
                    EndpointUsage load = loadOf.apply(endpoint);
                    int quiet = load.isBusy() ? 0 : idleRounds.getOrDefault(endpoint.tag(), 0) + (counts ? 1 : 0);
                    if (counts) {
                        idleRounds.put(endpoint.tag(), quiet);
                    }
                    if (quiet <= IDLE_ROUNDS) {
                        loads.put(endpoint.tag(), load);
                    }
                });
        return loads;
    }

    private static Map<String, AccountUsage> topByDemand(Map<String, AccountUsage> uses) {
        return uses.entrySet().stream()
                .filter(entry -> entry.getValue().demand() >= 1)
                .sorted(Comparator.comparing(entry -> -entry.getValue().demand()))
                .limit(ReceivedReports.MAX_ACCOUNTS_PER_REPORT)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Divides a report into parts that fit into a datagram each. */
    private static List<RegionReport> split(RegionReport whole) {
        List<RegionReport> parts = new ArrayList<>();
        List<Map.Entry<Integer, EndpointUsage>> loads =
                List.copyOf(whole.endpoints().entrySet());
        int from = 0;
        do {
            Map<Integer, EndpointUsage> some = loads.stream()
                    .skip(from)
                    .limit(MAX_ENDPOINTS_PER_PART)
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            boolean first = from == 0;
            parts.add(new RegionReport(
                    whole.region(),
                    whole.ageMillis(),
                    first,
                    first ? whole.hosts() : Set.of(),
                    some,
                    first ? whole.accountUsage() : Map.of(),
                    first ? whole.cachedSegments() : Map.of()));
            from += MAX_ENDPOINTS_PER_PART;
        } while (from < loads.size());
        return parts;
    }

    /** Returns the bytes of {@code parts} without their headers, in as few datagrams as they fit into. */
    private static List<List<byte[]>> packDatagrams(List<RegionReport> parts) {
        List<List<byte[]>> datagrams = new ArrayList<>();
        int bytes = 0;
        for (RegionReport part : parts) {
            byte[] encoded = FleetReport.encode(part);
            if (datagrams.isEmpty() || bytes + encoded.length > MAX_DATAGRAM_BYTES) {
                datagrams.add(new ArrayList<>());
                bytes = 0;
            }
            datagrams.get(datagrams.size() - 1).add(encoded);
            bytes += encoded.length;
        }
        return datagrams;
    }

    private void send(List<byte[]> regions, boolean gathered, Collection<HostHandle> receivers) {
        receivers.forEach(host -> {
            FleetReport.Header header = new FleetReport.Header(
                    HostHandle.tagOf(self.name()),
                    self.incarnation(),
                    rounds,
                    received.latestRound(host.entry().name()),
                    gathered,
                    mirror.status());
            channel.write(new DatagramPacket(
                    Unpooled.wrappedBuffer(FleetReport.encode(header, regions)),
                    new InetSocketAddress(host.entry().address(), host.entry().gossipPort())));
        });
        channel.flush();
    }

    /** Notes that {@code endpoint} has been sent {@code parts}, so that other hosts send the same ones there. */
    public void announceCached(EndpointHandle endpoint, List<PromptSegment> parts) {
        segmentAnnouncements.addPrompt(endpoint.tag(), parts);
    }

    /** Lets no answer to an earlier report count, since this process may have been suspended. */
    public void clearSentReports() {
        sent.clear();
    }

    /** Takes a report of another host. */
    void receive(FleetReport report) {
        FleetReport.Header header = report.header();
        fleet.hostByTag(header.host())
                .filter(host -> host.entry().incarnation() == header.incarnation())
                .ifPresent(host -> receive(host, report, System.nanoTime()));
    }

    private void receive(HostHandle host, FleetReport report, long now) {
        host.recordReport(now);
        FleetReport.Header header = report.header();
        boolean near = host.entry().region().equals(self.region());
        if (near) {
            sent.findByRound(header.acknowledgedRound())
                    .ifPresent(own -> mirror.receivePeerStatus(header.storeStatus(), own.sentAt()));
        }
        if (!header.aggregated()) {
            received.receiveDirect(host, report, now);
        } else {
            report.regions().forEach(part -> receiveAggregate(near, report, part, now));
        }
        report.regions()
                .forEach(part -> part.cachedSegments()
                        .forEach((tag, parts) -> fleet.endpointByTag(tag).ifPresent(endpoint -> {
                            endpoint.recordCached(parts);
                            if (isRelay) {
                                segmentAnnouncements.add(tag, parts);
                            }
                        })));
    }

    private void receiveAggregate(boolean near, FleetReport report, RegionReport part, long now) {
        boolean ofOwnRegion = part.region().equals(self.region());
        if (!ofOwnRegion) {
            received.receiveRemoteRegion(part, now);
        } else if (near && !isRelay) {
            received.receiveAggregate(report, part, now);
        }
    }

    @Override
    public AccountShare shareOf(String account) {
        return sharesByAccount.computeIfAbsent(
                account, name -> received.shareOf(name, limiter.demandOf(name), isRelay, System.nanoTime()));
    }

    /** Returns whether reports of {@code host}, or of one that hears it, come as they should. */
    public boolean isAlive(HostHandle host) {
        return isAlive(host, System.nanoTime());
    }

    /**
     * Returns whether {@code host} of this region is there, as far as reports tell: it is heard, or nothing can be said
     * since no relay is.
     */
    public boolean isPresumedAlive(HostHandle host) {
        return isAlive(host) || !isRelay && !received.hasAggregate();
    }

    private static boolean isAlive(HostHandle host, long now) {
        return host.hasReportedWithin(now, ReceivedReports.MAX_REPORT_AGE.toNanos());
    }

    /** Reads datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                receive(FleetReport.decode(ByteBufUtil.getBytes(packet.content())));
            } catch (IOException e) {
                log.belief("report_unreadable", "sender", packet.sender(), "reason", String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.belief("report_failed", "reason", String.valueOf(cause));
        }
    }
}
