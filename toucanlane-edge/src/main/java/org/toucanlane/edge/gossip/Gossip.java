package org.toucanlane.edge.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.toucanlane.edge.schedule.AlignedSchedule;
import org.toucanlane.edge.state.StoreMirror;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.overload.SilenceAllowance;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * Exchanges load reports between hosts as datagrams. A lost report is superseded by the one of the next round.
 *
 * <p>Each host reports its own load to the relays of its region. A relay sends the aggregate of its region, together
 * with the aggregates received from other regions, to the other hosts of its region, and sends its region's aggregate
 * to the relays of other regions. The traffic of a host is therefore independent of the number of hosts, except at
 * relays, where it grows with the size of their region. While there is evidence of crashes, it takes the same routes in
 * datagrams of its own, which hosts of an earlier version reject without effect on load reports. Not thread-safe:
 * confined to the host's event loop.
 */
public final class Gossip implements AccountLimiter.ShareSource {

    /** Time between rounds; an endpoint typically gets a few requests in this time. */
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(100);

    /** Time between rounds in a large fleet, where each host has few requests. */
    private static final Duration LARGE_FLEET_ROUND_INTERVAL = ROUND_INTERVAL.multipliedBy(2);

    /** Number of other hosts above which a fleet is large. */
    private static final int FULL_RATE_MAX_HOSTS = 16;

    /** Time for which the shares of accounts are kept. */
    private static final Duration SHARE_LIFETIME = Duration.ofMillis(100);

    /**
     * Rounds for which an endpoint that became idle is still reported, so that receivers learn of it despite losses.
     */
    private static final int IDLE_ROUNDS = 10;

    /** Interval, in rounds, of reports to and about other regions; these matter less and use expensive links. */
    private static final int REMOTE_REGION_ROUNDS = 2;

    private final EventLoop loop;
    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final StoreMirror mirror;
    private final SilenceAllowance ownStalls;
    private final SentReports sent = new SentReports();
    private final ReceivedReports received;
    private final SegmentAnnouncements segmentAnnouncements = new SegmentAnnouncements();
    private final CrashExchange crashes;
    private final Map<Integer, Integer> idleRounds = new HashMap<>();
    private final Set<String> silentHosts = new HashSet<>();
    private final Map<String, AccountShare> sharesByAccount = new HashMap<>();
    private AccountLimiter limiter;
    private Channel channel;
    private ReportRoutes routes;
    private long sharesComputedAt = System.nanoTime();
    private long rounds;

    /**
     * Creates an instance that sends nothing until {@link #start} is called.
     *
     * @param ownStalls silence of other hosts that this host's own stalls explain
     */
    public Gossip(
            EventLoop loop,
            Fleet fleet,
            DecisionLog log,
            HostRecord self,
            StoreMirror mirror,
            SegmentQuarantine quarantine,
            SilenceAllowance ownStalls) {
        this.loop = loop;
        this.fleet = fleet;
        this.log = log;
        this.self = self;
        this.mirror = mirror;
        this.ownStalls = ownStalls;
        this.received = new ReceivedReports(fleet, self.region(), self.name(), sent);
        this.crashes = new CrashExchange(fleet, log, self, quarantine);
        this.routes = new ReportRoutes(self, Map.of(), List.of());
    }

    /**
     * Binds the port and starts sending reports.
     *
     * @throws IOException if the port cannot be bound
     */
    public void start(AccountLimiter accounts) throws IOException {
        limiter = accounts;
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(CrashExchange.MAX_DATAGRAM_BYTES))
                .handler(new Receiver());
        ChannelFuture bound = bootstrap
                .bind(new InetSocketAddress(self.address(), self.gossipPort()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot bind UDP port " + self.gossipPort(), bound.cause());
        }
        channel = bound.channel();
        scheduleRound();
    }

    private void scheduleRound() {
        Duration interval = fleet.hosts().size() > FULL_RATE_MAX_HOSTS ? LARGE_FLEET_ROUND_INTERVAL : ROUND_INTERVAL;
        Runnable round = log.logFailures("report round", this::runRound);
        AlignedSchedule.runNext(
                loop,
                () -> {
                    scheduleRound();
                    round.run();
                },
                interval);
    }

    private void runRound() {
        long now = System.nanoTime();
        rounds++;
        long expired = now - ReceivedReports.MAX_REPORT_AGE.toNanos();
        received.removeExpired(now, ownStalls.nanosSinceWithUnread(expired, now));
        updateSilentHosts(now);
        chooseRelays();
        Map<String, AccountUsage> ownUsage = limiter.usage();
        sendOwnReport(ownUsage, now);
        if (routes.isAggregator()) {
            sendAggregatedReport(ownUsage, now);
        }
        sendCrashReports(now);
        segmentAnnouncements.nextRound();
        idleRounds.keySet().removeIf(tag -> fleet.endpointByTag(tag).isEmpty());
    }

    private void updateSilentHosts(long now) {
        silentHosts.removeIf(name -> fleet.host(name).isEmpty());
        fleet.hosts().stream().filter(HostHandle::hasEverReported).forEach(host -> {
            String name = host.entry().name();
            if (!isAlive(host, now) && silentHosts.add(name)) {
                log.stateChange("host_silent", "host", name);
            } else if (isAlive(host, now) && silentHosts.remove(name)) {
                log.stateChange("host_heard_again", "host", name);
            }
        });
    }

    private void chooseRelays() {
        ReportRoutes previous = routes;
        routes = ReportRoutes.of(
                self, fleet.hosts().stream().map(HostHandle::entry).toList());
        if (!routes.relays().equals(previous.relays())) {
            if (routes.isRelay() != previous.isRelay()) {
                received.clearOwnRegion();
            }
            mirror.setFollower(!routes.relays().get(0).equals(self.name()));
            log.stateChange(
                    "relays_chosen", "region", self.region(), "relays", routes.relays(), "self", routes.isRelay());
        }
    }

    /** Returns the host of this region that watches the store for the others, if it isn't this one and can be reached. */
    public Optional<HostHandle> watcher() {
        return routes.relays().stream()
                .findFirst()
                .filter(name -> !name.equals(self.name()))
                .flatMap(fleet::host)
                .filter(this::isAlive);
    }

    private void sendOwnReport(Map<String, AccountUsage> ownUsage, long now) {
        Map<Integer, EndpointUsage> endpoints = endpointUsage(endpoint -> endpoint.localUsage(now), !routes.isRelay());
        Map<String, AccountUsage> usage = topByDemand(ownUsage);
        sent.add(new SentReports.SentReport(rounds, now, endpoints, usage));
        List<HostRecord> receivers = routes.ownRelays();
        if (!receivers.isEmpty()) {
            RegionReport fullReport = new RegionReport(
                    self.region(),
                    0,
                    true,
                    Set.of(HostHandle.tagOf(self.name())),
                    endpoints,
                    usage,
                    segmentAnnouncements.pending(this::isInOwnRegion));
            ReportPacking.pack(ReportPacking.split(fullReport)).forEach(regions -> send(regions, false, receivers));
        }
    }

    /**
     * Sends the aggregate of this region to its other hosts and to the relays of other regions, in turn with the other
     * relay.
     */
    private void sendAggregatedReport(Map<String, AccountUsage> ownUsage, long now) {
        int turn = routes.turn();
        int turns = routes.turns();
        ReceivedReports.RegionView others = received.ownRegion(now);
        Set<Integer> hosts = new HashSet<>(others.hosts());
        hosts.add(HostHandle.tagOf(self.name()));
        Map<String, AccountUsage> usage = new HashMap<>(others.accountUsage());
        ownUsage.forEach((account, use) -> usage.merge(account, use, AccountUsage::plus));
        RegionReport fullReport = new RegionReport(
                self.region(),
                0,
                true,
                hosts,
                endpointUsage(endpoint -> endpoint.totalUsage(now), true),
                topByDemand(usage),
                segmentAnnouncements.pending(this::isInOwnRegion));
        List<RegionReport> own = ReportPacking.split(fullReport);
        List<HostRecord> members = routes.members();
        if (!members.isEmpty() && rounds % turns == turn) {
            boolean withRemoteRegions = rounds / turns % REMOTE_REGION_ROUNDS == turn % REMOTE_REGION_ROUNDS;
            List<RegionReport> all = withRemoteRegions
                    ? Stream.concat(own.stream(), remoteRegionReports(now).stream())
                            .toList()
                    : own;
            ReportPacking.pack(all).forEach(regions -> send(regions, true, members));
        }
        if (rounds % (turns * REMOTE_REGION_ROUNDS) == (long) turn * REMOTE_REGION_ROUNDS) {
            List<HostRecord> remoteRelays = routes.remoteRelays();
            ReportPacking.pack(own).forEach(regions -> send(regions, true, remoteRelays));
        }
    }

    private List<RegionReport> remoteRegionReports(long now) {
        return received.remoteRegions().entrySet().stream()
                .flatMap(entry -> {
                    String source = ReceivedReports.remoteSource(entry.getKey());
                    Map<Integer, EndpointUsage> endpoints = new HashMap<>();
                    fleet.endpoints()
                            .forEach(endpoint -> endpoint.remoteUsage(source)
                                    .ifPresent(usage -> endpoints.put(endpoint.tag(), usage)));
                    ReceivedReports.RegionView view = entry.getValue();
                    return ReportPacking.split(new RegionReport(
                                    entry.getKey(),
                                    TimeUnit.NANOSECONDS.toMillis(now - view.reportedAt()),
                                    true,
                                    view.hosts(),
                                    endpoints,
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

    /** Returns the usage of this region's endpoints that are busy or have become idle within the last rounds. */
    private Map<Integer, EndpointUsage> endpointUsage(
            Function<EndpointHandle, EndpointUsage> usageOf, boolean countRound) {
        Map<Integer, EndpointUsage> endpoints = new HashMap<>();
        fleet.endpoints().stream()
                .filter(endpoint -> fleet.regionOf(endpoint).equals(self.region()))
                .forEach(endpoint -> {
                    EndpointUsage usage = usageOf.apply(endpoint);
                    int idle = usage.isBusy() ? 0 : idleRounds.getOrDefault(endpoint.tag(), 0) + (countRound ? 1 : 0);
                    if (countRound) {
                        idleRounds.put(endpoint.tag(), idle);
                    }
                    if (idle <= IDLE_ROUNDS) {
                        endpoints.put(endpoint.tag(), usage);
                    }
                });
        return endpoints;
    }

    private static Map<String, AccountUsage> topByDemand(Map<String, AccountUsage> usage) {
        return usage.entrySet().stream()
                .filter(entry -> entry.getValue().demand() >= 1)
                .sorted(Comparator.comparing(entry -> -entry.getValue().demand()))
                .limit(ReceivedReports.MAX_ACCOUNTS_PER_REPORT)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    private void send(List<byte[]> regions, boolean gathered, Collection<HostRecord> receivers) {
        receivers.forEach(host -> {
            FleetReport.Header header = new FleetReport.Header(
                    HostHandle.tagOf(self.name()),
                    self.incarnation(),
                    rounds,
                    received.latestRound(host.name()),
                    gathered,
                    mirror.status(),
                    fleet.newestKnownConfiguration());
            write(FleetReport.encode(header, regions), host);
        });
        channel.flush();
    }

    private void sendCrashReports(long now) {
        crashes.logChanges(now);
        List<byte[]> datagrams = crashes.nextDatagrams(now);
        if (!datagrams.isEmpty()) {
            routes.allReceivers().forEach(host -> datagrams.forEach(bytes -> write(bytes, host)));
            channel.flush();
        }
    }

    private void write(byte[] bytes, HostRecord host) {
        channel.write(new DatagramPacket(
                Unpooled.wrappedBuffer(bytes), new InetSocketAddress(host.address(), host.gossipPort())));
    }

    /** Announces that {@code segments} were sent to {@code endpoint}, so that other hosts route equal prompts there. */
    public void announceCached(EndpointHandle endpoint, List<PromptSegment> segments) {
        segmentAnnouncements.addPrompt(endpoint.tag(), segments);
    }

    /** Ignores acknowledgements of earlier reports, because this process may have been suspended. */
    public void clearSentReports() {
        sent.clear();
    }

    /** Handles a report from another host. */
    void receive(FleetReport report) {
        FleetReport.Header header = report.header();
        fleet.hostByTag(header.host())
                .filter(host -> host.entry().incarnation() == header.incarnation())
                .ifPresent(host -> receive(host, report, System.nanoTime()));
    }

    private void receive(HostHandle host, FleetReport report, long now) {
        host.recordReport(now);
        FleetReport.Header header = report.header();
        fleet.recordConfigurationElsewhere(header.configurationVersion(), now);
        boolean sameRegion = host.entry().region().equals(self.region());
        if (sameRegion) {
            sent.findByRound(header.acknowledgedRound())
                    .ifPresent(own -> mirror.receivePeerStatus(header.storeStatus(), own.sentAt()));
        }
        if (!header.aggregated()) {
            received.receiveDirect(host, report, now);
        } else {
            report.regions().forEach(part -> receiveAggregate(sameRegion, report, part, now));
        }
        report.regions()
                .forEach(part -> part.cachedSegments()
                        .forEach((tag, segments) -> fleet.endpointByTag(tag).ifPresent(endpoint -> {
                            endpoint.recordCached(segments);
                            if (routes.isRelay()) {
                                segmentAnnouncements.add(tag, segments);
                            }
                        })));
    }

    private void receiveAggregate(boolean sameRegion, FleetReport report, RegionReport part, long now) {
        boolean isOwnRegion = part.region().equals(self.region());
        if (!isOwnRegion) {
            received.receiveRemoteRegion(part, now);
        } else if (sameRegion && !routes.isRelay()) {
            received.receiveAggregate(report, part, now);
        }
    }

    @Override
    public AccountShare shareOf(String account) {
        long now = System.nanoTime();
        if (now - sharesComputedAt > SHARE_LIFETIME.toNanos()) {
            sharesByAccount.clear();
            sharesComputedAt = now;
        }
        return sharesByAccount.computeIfAbsent(
                account, name -> received.shareOf(name, limiter.demandOf(name), routes.isRelay(), now));
    }

    /**
     * Returns whether a report from {@code host}, or an aggregate that includes it, is recent enough. The time in which this
     * host didn't read doesn't count.
     */
    public boolean isAlive(HostHandle host) {
        return isAlive(host, System.nanoTime());
    }

    /**
     * Returns whether {@code host} of this region is presumed alive: its reports are recent, or its state is unknown
     * because no relay's aggregate is available. Of this host's stalls no more than {@link SilenceAllowance#MAX} is discounted.
     */
    public boolean isPresumedAlive(HostHandle host) {
        return hasReported(host, System.nanoTime(), ownStalls.nanosSince(host.lastReportAt()))
                || !routes.isRelay() && !received.hasAggregate();
    }

    private boolean isAlive(HostHandle host, long now) {
        return hasReported(host, now, ownStalls.nanosSinceWithUnread(host.lastReportAt(), now));
    }

    private static boolean hasReported(HostHandle host, long now, long unreadNanos) {
        return host.hasReportedWithin(now, ReceivedReports.MAX_REPORT_AGE.toNanos() + unreadNanos);
    }

    /** Decodes and handles incoming datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            try {
                if (CrashReport.isCrashReport(bytes)) {
                    crashes.receive(CrashReport.decode(bytes), System.nanoTime());
                } else {
                    receive(FleetReport.decode(bytes));
                }
            } catch (IOException e) {
                log.stateChange(
                        "report_unreadable", "sender", packet.sender(), "reason", String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.stateChange("report_failed", "reason", String.valueOf(cause));
        }
    }
}
