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
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUse;
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
public final class Gossip implements AccountLimiter.Shares {

    /** Time between rounds: a few requests are sent to an endpoint meanwhile. */
    private static final Duration ROUND = Duration.ofMillis(100);

    /** Hosts above which only every second round is used, since each host then has few requests of its own. */
    private static final int SMALL_FLEET = 16;

    /** Rounds for which an endpoint without requests is still reported, so that its end is heard. */
    private static final int QUIET_ROUNDS = 10;

    /** Bytes of one datagram, so that it fits into an Ethernet frame. */
    private static final int DATAGRAM_BYTES = 1_300;

    /** Endpoints in one part of a report, which is never split further. */
    private static final int ENDPOINTS_PER_PART = 40;

    /** Relays that tell others what they have gathered; where there are more, all others are relays too. */
    private static final int MOST_GATHERERS = 2;

    /** Rounds between two reports to other regions, and of other regions: they matter less, and the links cost. */
    private static final int FAR_ROUNDS = 2;

    private final EventLoop loop;
    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final StoreMirror mirror;
    private final SentReports sent = new SentReports();
    private final HeardReports heard;
    private final CachedParts cached = new CachedParts();
    private final Map<Integer, Integer> quietRounds = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Map<String, AccountShare> shares = new HashMap<>();
    private AccountLimiter limiter;
    private Channel channel;
    private List<String> relays = List.of();
    private boolean relay;
    private long ticks;
    private long rounds;

    /** Creates a service that sends nothing yet. */
    public Gossip(EventLoop loop, Fleet fleet, DecisionLog log, HostRecord self, StoreMirror mirror) {
        this.loop = loop;
        this.fleet = fleet;
        this.log = log;
        this.self = self;
        this.mirror = mirror;
        this.heard = new HeardReports(fleet, self.region(), self.name(), sent);
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
        loop.scheduleAtFixedRate(this::round, ROUND.toMillis(), ROUND.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void round() {
        shares.clear();
        boolean skipped = fleet.hosts().size() > SMALL_FLEET && ticks++ % 2 != 0;
        if (skipped) {
            return;
        }
        long now = System.nanoTime();
        rounds++;
        heard.dropStale(now);
        noteSilence(now);
        Map<String, List<HostHandle>> byRegion = fleet.hosts().stream()
                .collect(Collectors.groupingBy(host -> host.entry().region()));
        List<HostHandle> near = byRegion.getOrDefault(self.region(), List.of());
        chooseRelays(near);
        Map<String, AccountUse> ownUses = limiter.uses();
        tellOwn(near, ownUses, now);
        if (relay) {
            tellGathered(near, byRegion, ownUses, now);
        }
        cached.nextRound();
        quietRounds.keySet().removeIf(tag -> fleet.endpointOfTag(tag).isEmpty());
    }

    private void noteSilence(long now) {
        silent.removeIf(name -> fleet.host(name).isEmpty());
        fleet.hosts().stream().filter(HostHandle::wasHeard).forEach(host -> {
            String name = host.entry().name();
            if (!isHeard(host, now) && silent.add(name)) {
                log.stateChange("host_silent", "host", name);
            } else if (isHeard(host, now) && silent.remove(name)) {
                log.stateChange("host_heard_again", "host", name);
            }
        });
    }

    private void chooseRelays(List<HostHandle> near) {
        List<String> chosen =
                relaysAmong(Stream.concat(Stream.of(self), near.stream().map(HostHandle::entry)));
        if (!chosen.equals(relays)) {
            relays = chosen;
            boolean now = chosen.contains(self.name());
            if (now != relay) {
                heard.forgetNear();
            }
            relay = now;
            mirror.relyOnOthers(!chosen.get(0).equals(self.name()));
            log.stateChange("relays_chosen", "region", self.region(), "relays", chosen, "self", relay);
        }
    }

    private void tellOwn(List<HostHandle> near, Map<String, AccountUse> ownUses, long now) {
        Map<Integer, RemoteLoad> loads = loads(endpoint -> endpoint.ownLoad(now), !relay);
        Map<String, AccountUse> uses = largest(ownUses);
        sent.add(new SentReports.Sent(rounds, now, loads, uses));
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
                    cached.toTell(this::isNear));
            datagrams(split(whole)).forEach(regions -> send(regions, false, receivers));
        }
    }

    /** Tells other hosts of the region the sum, by turns with the other relay, and the relays of other regions too. */
    private void tellGathered(
            List<HostHandle> near, Map<String, List<HostHandle>> byRegion, Map<String, AccountUse> ownUses, long now) {
        int turn = relays.indexOf(self.name());
        int turns = Math.min(relays.size(), MOST_GATHERERS);
        if (turn >= turns) {
            return;
        }
        HeardReports.View others = heard.near(now);
        Set<Integer> hosts = new HashSet<>(others.hosts());
        hosts.add(HostHandle.tagOf(self.name()));
        Map<String, AccountUse> uses = new HashMap<>(others.uses());
        ownUses.forEach((account, use) -> uses.merge(account, use, AccountUse::plus));
        RegionReport whole = new RegionReport(
                self.region(),
                0,
                true,
                hosts,
                loads(endpoint -> endpoint.loadOfAll(now), true),
                largest(uses),
                cached.toTell(this::isNear));
        List<RegionReport> own = split(whole);
        List<HostHandle> members = near.stream()
                .filter(host -> !relays.contains(host.entry().name()))
                .toList();
        if (!members.isEmpty() && rounds % turns == turn) {
            boolean withFar = rounds / turns % FAR_ROUNDS == turn % FAR_ROUNDS;
            List<RegionReport> all = withFar
                    ? Stream.concat(own.stream(), farReports(now).stream()).toList()
                    : own;
            datagrams(all).forEach(regions -> send(regions, true, members));
        }
        if (rounds % (turns * FAR_ROUNDS) == (long) turn * FAR_ROUNDS) {
            List<HostHandle> farRelays = byRegion.entrySet().stream()
                    .filter(entry -> !entry.getKey().equals(self.region()))
                    .flatMap(entry -> relaysOf(entry.getValue()))
                    .toList();
            datagrams(own).forEach(regions -> send(regions, true, farRelays));
        }
    }

    private static Stream<HostHandle> relaysOf(List<HostHandle> hosts) {
        List<String> names = relaysAmong(hosts.stream().map(HostHandle::entry));
        return hosts.stream().filter(host -> names.contains(host.entry().name()));
    }

    private static List<String> relaysAmong(Stream<HostRecord> hosts) {
        return RelayChooser.choose(hosts.map(host -> new RelayChooser.Candidate(host.name(), host.weight()))
                .toList());
    }

    private List<RegionReport> farReports(long now) {
        return heard.far().entrySet().stream()
                .flatMap(entry -> {
                    String source = HeardReports.sourceOf(entry.getKey());
                    Map<Integer, RemoteLoad> loads = new HashMap<>();
                    fleet.endpoints()
                            .forEach(endpoint ->
                                    endpoint.toldBy(source).ifPresent(load -> loads.put(endpoint.tag(), load)));
                    HeardReports.View view = entry.getValue();
                    return split(new RegionReport(
                                    entry.getKey(),
                                    TimeUnit.NANOSECONDS.toMillis(now - view.at()),
                                    true,
                                    view.hosts(),
                                    loads,
                                    view.uses(),
                                    cached.toTell(tag -> isIn(tag, entry.getKey()))))
                            .stream();
                })
                .toList();
    }

    private boolean isNear(int tag) {
        return isIn(tag, self.region());
    }

    private boolean isIn(int tag, String region) {
        return fleet.endpointOfTag(tag)
                .filter(endpoint -> fleet.regionOf(endpoint).equals(region))
                .isPresent();
    }

    /** Returns the loads of this region's endpoints that have requests, or had some a few rounds ago. */
    private Map<Integer, RemoteLoad> loads(Function<EndpointHandle, RemoteLoad> loadOf, boolean counts) {
        Map<Integer, RemoteLoad> loads = new HashMap<>();
        fleet.endpoints().stream()
                .filter(endpoint -> fleet.regionOf(endpoint).equals(self.region()))
                .forEach(endpoint -> {
                    RemoteLoad load = loadOf.apply(endpoint);
                    int quiet = load.isBusy() ? 0 : quietRounds.getOrDefault(endpoint.tag(), 0) + (counts ? 1 : 0);
                    if (counts) {
                        quietRounds.put(endpoint.tag(), quiet);
                    }
                    if (quiet <= QUIET_ROUNDS) {
                        loads.put(endpoint.tag(), load);
                    }
                });
        return loads;
    }

    private static Map<String, AccountUse> largest(Map<String, AccountUse> uses) {
        return uses.entrySet().stream()
                .filter(entry -> entry.getValue().demand() >= 1)
                .sorted(Comparator.comparing(entry -> -entry.getValue().demand()))
                .limit(HeardReports.ACCOUNTS_PER_REPORT)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Divides a report into parts that fit into a datagram each. */
    private static List<RegionReport> split(RegionReport whole) {
        List<RegionReport> parts = new ArrayList<>();
        List<Map.Entry<Integer, RemoteLoad>> loads =
                List.copyOf(whole.endpoints().entrySet());
        int from = 0;
        do {
            Map<Integer, RemoteLoad> some = loads.stream()
                    .skip(from)
                    .limit(ENDPOINTS_PER_PART)
                    .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
            boolean first = from == 0;
            parts.add(new RegionReport(
                    whole.region(),
                    whole.ageMillis(),
                    first,
                    first ? whole.hosts() : Set.of(),
                    some,
                    first ? whole.uses() : Map.of(),
                    first ? whole.cached() : Map.of()));
            from += ENDPOINTS_PER_PART;
        } while (from < loads.size());
        return parts;
    }

    /** Returns the bytes of {@code parts} without their headers, in as few datagrams as they fit into. */
    private static List<List<byte[]>> datagrams(List<RegionReport> parts) {
        List<List<byte[]>> datagrams = new ArrayList<>();
        int bytes = 0;
        for (RegionReport part : parts) {
            byte[] encoded = FleetReport.encode(part);
            if (datagrams.isEmpty() || bytes + encoded.length > DATAGRAM_BYTES) {
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
                    heard.roundOf(host.entry().name()),
                    gathered,
                    mirror.knowledge());
            channel.write(new DatagramPacket(
                    Unpooled.wrappedBuffer(FleetReport.encode(header, regions)),
                    new InetSocketAddress(host.entry().address(), host.entry().gossipPort())));
        });
        channel.flush();
    }

    /** Notes that {@code endpoint} has been sent {@code parts}, so that other hosts send the same ones there. */
    public void cached(EndpointHandle endpoint, List<CachedPart> parts) {
        cached.addPrompt(endpoint.tag(), parts);
    }

    /** Lets no answer to an earlier report count, since this process may have been suspended. */
    public void forgetSent() {
        sent.clear();
    }

    /** Takes a report of another host. */
    void take(FleetReport report) {
        FleetReport.Header header = report.header();
        fleet.hostOfTag(header.host())
                .filter(host -> host.entry().incarnation() == header.incarnation())
                .ifPresent(host -> take(host, report, System.nanoTime()));
    }

    private void take(HostHandle host, FleetReport report, long now) {
        host.hear(now);
        FleetReport.Header header = report.header();
        boolean near = host.entry().region().equals(self.region());
        if (near) {
            sent.of(header.acknowledged()).ifPresent(own -> mirror.heard(header.knowledge(), own.sentAt()));
        }
        if (!header.gathered()) {
            heard.takeOwn(host, report, now);
        } else {
            report.regions().forEach(part -> takeGathered(near, report, part, now));
        }
        report.regions()
                .forEach(part -> part.cached()
                        .forEach((tag, parts) -> fleet.endpointOfTag(tag).ifPresent(endpoint -> {
                            endpoint.cache(parts);
                            if (relay) {
                                cached.add(tag, parts);
                            }
                        })));
    }

    private void takeGathered(boolean near, FleetReport report, RegionReport part, long now) {
        boolean ofOwnRegion = part.region().equals(self.region());
        if (!ofOwnRegion) {
            heard.takeFar(part, now);
        } else if (near && !relay) {
            heard.takeGathered(report, part, now);
        }
    }

    @Override
    public AccountShare of(String account) {
        return shares.computeIfAbsent(
                account, name -> heard.shareOf(name, limiter.demandOf(name), relay, System.nanoTime()));
    }

    /** Returns whether reports of {@code host}, or of one that hears it, come as they should. */
    public boolean isHeard(HostHandle host) {
        return isHeard(host, System.nanoTime());
    }

    /**
     * Returns whether {@code host} of this region is there, as far as reports tell: it is heard, or nothing can be said
     * since no relay is.
     */
    public boolean isThere(HostHandle host) {
        return isHeard(host) || !relay && !heard.hearsRelay();
    }

    private static boolean isHeard(HostHandle host, long now) {
        return host.isHeard(now, HeardReports.REPORT_AGE.toNanos());
    }

    /** Reads datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                take(FleetReport.decode(ByteBufUtil.getBytes(packet.content())));
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
