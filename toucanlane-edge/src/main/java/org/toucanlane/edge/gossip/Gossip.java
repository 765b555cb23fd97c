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
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.limit.AccountShare;
import org.toucanlane.edge.limit.AccountUse;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.share.LimitShare;

/**
 * Sends this host's load to others and takes theirs, as datagrams: what is lost is told anew in the next round.
 *
 * <p>In a small fleet all hosts get each round's report; in a larger one they take turns, those of the region more often,
 * so that what a host sends does not grow with the fleet. Used on the host's event loop only.
 */
public final class Gossip implements AccountLimiter.Shares {

    /** Time between rounds: a few requests are sent to an endpoint meanwhile. */
    private static final Duration ROUND = Duration.ofMillis(100);

    /** Hosts above which only every second round is used, since each host then has few requests of its own. */
    private static final int SMALL_FLEET = 16;

    /** Hosts of the region that get a report in one round; with more, they take turns. */
    private static final int NEAR_PER_ROUND = 5;

    /** Hosts of other regions that get a report in one round. */
    private static final int FAR_PER_ROUND = 3;

    /** Age at which a report counts no more where hosts take no turns: several rounds, so that losses do no harm. */
    private static final Duration REPORT_AGE = Duration.ofMillis(1_500);

    /** Turns of all hosts after which a report counts no more. */
    private static final int REPORT_TURNS = 3;

    /** Rounds for which an endpoint without requests is still reported, so that its end is heard. */
    private static final int QUIET_ROUNDS = 20;

    /** Endpoints in one datagram, so that it fits into an Ethernet frame. */
    private static final int ENDPOINTS_PER_REPORT = 24;

    /** Accounts in one report: those with the largest demand. */
    private static final int ACCOUNTS_PER_REPORT = 24;

    private final EventLoop loop;
    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final Map<String, Map<String, AccountUse>> usesOfHosts = new HashMap<>();
    private final Map<String, Integer> quietRounds = new HashMap<>();
    private final CachedParts cached = new CachedParts();
    private AccountLimiter limiter;
    private Channel channel;
    private final Map<String, AccountShare> shares = new HashMap<>();
    private long reportNanos = REPORT_AGE.toNanos();
    private long rounds;
    private long nearTurn;
    private long farTurn;

    /** Creates a service that sends nothing yet. */
    public Gossip(EventLoop loop, Fleet fleet, DecisionLog log, HostRecord self) {
        this.loop = loop;
        this.fleet = fleet;
        this.log = log;
        this.self = self;
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
        boolean skipped = fleet.hosts().size() > SMALL_FLEET && rounds++ % 2 != 0;
        if (skipped) {
            return;
        }
        Map<Boolean, List<HostHandle>> byNearness = fleet.hosts().stream()
                .collect(Collectors.partitioningBy(host -> host.entry().region().equals(self.region())));
        List<HostHandle> receivers = new ArrayList<>(turn(byNearness.get(true), NEAR_PER_ROUND, nearTurn));
        nearTurn += NEAR_PER_ROUND;
        receivers.addAll(turn(byNearness.get(false), FAR_PER_ROUND, farTurn));
        farTurn += FAR_PER_ROUND;
        if (!receivers.isEmpty()) {
            reports().forEach(report -> send(report.encode(), receivers));
        }
        int longestTurn = byNearness.get(false).size() / FAR_PER_ROUND + 1;
        cached.nextRound(2 * longestTurn + 1);
        long turnNanos = (long) longestTurn * ROUND.toNanos() * (fleet.hosts().size() > SMALL_FLEET ? 2 : 1);
        reportNanos = Math.max(REPORT_AGE.toNanos(), REPORT_TURNS * turnNanos);
        dropStale();
    }

    /** Returns the next hosts of a list in which hosts take turns. */
    private static List<HostHandle> turn(List<HostHandle> hosts, int most, long from) {
        if (hosts.size() <= most) {
            return hosts;
        }
        return IntStream.range(0, most)
                .mapToObj(i -> hosts.get((int) ((from + i) % hosts.size())))
                .toList();
    }

    private List<LoadReport> reports() {
        long now = System.nanoTime();
        Map<String, RemoteLoad> loads = new HashMap<>();
        fleet.endpoints().stream()
                .filter(endpoint ->
                        fleet.regionOf(endpoint.entry().dataCentre()).equals(self.region()))
                .filter(this::isWorthTelling)
                .forEach(endpoint -> loads.put(endpoint.id(), endpoint.ownLoad(now)));
        Map<String, AccountUse> uses = new HashMap<>();
        limiter.uses().entrySet().stream()
                .filter(entry -> entry.getValue().demand() >= 1)
                .sorted(Comparator.comparing(entry -> -entry.getValue().demand()))
                .limit(ACCOUNTS_PER_REPORT)
                .forEach(entry -> uses.put(entry.getKey(), entry.getValue()));
        List<Map.Entry<String, RemoteLoad>> all = List.copyOf(loads.entrySet());
        int parts = Math.max(1, (all.size() + ENDPOINTS_PER_REPORT - 1) / ENDPOINTS_PER_REPORT);
        return IntStream.range(0, parts)
                .mapToObj(part -> new LoadReport(
                        self.name(),
                        self.incarnation(),
                        part(all, part),
                        part == 0 ? uses : Map.of(),
                        part == 0 ? cached.toTell() : Map.of()))
                .toList();
    }

    private static Map<String, RemoteLoad> part(List<Map.Entry<String, RemoteLoad>> all, int part) {
        Map<String, RemoteLoad> loads = new HashMap<>();
        all.stream()
                .skip((long) part * ENDPOINTS_PER_REPORT)
                .limit(ENDPOINTS_PER_REPORT)
                .forEach(entry -> loads.put(entry.getKey(), entry.getValue()));
        return loads;
    }

    /** Returns whether an endpoint has requests of this host, or had some in the last far round. */
    private boolean isWorthTelling(EndpointHandle endpoint) {
        RemoteLoad load = endpoint.ownLoad(System.nanoTime());
        boolean busy = load.running() > 0 || !load.usable();
        int quiet = busy ? 0 : quietRounds.getOrDefault(endpoint.id(), 0) + 1;
        quietRounds.put(endpoint.id(), quiet);
        return quiet <= QUIET_ROUNDS;
    }

    private void send(byte[] bytes, List<HostHandle> receivers) {
        receivers.forEach(host -> channel.write(new DatagramPacket(
                Unpooled.wrappedBuffer(bytes),
                new InetSocketAddress(host.entry().address(), host.entry().gossipPort()))));
        channel.flush();
    }

    private void dropStale() {
        long now = System.nanoTime();
        fleet.hosts().stream()
                .filter(host -> !host.isHeard(now, reportNanos))
                .filter(host -> usesOfHosts.remove(host.entry().name()) != null)
                .forEach(host -> {
                    log.belief("host_silent", "host", host.entry().name());
                    fleet.endpoints()
                            .forEach(endpoint -> endpoint.report(host.entry().name(), null));
                });
        quietRounds.keySet().removeIf(id -> fleet.endpoint(id).isEmpty());
    }

    /** Notes that {@code endpoint} has been sent {@code parts}, so that other hosts send the same ones there. */
    public void cached(String endpoint, List<CachedPart> parts) {
        cached.add(endpoint, parts);
    }

    /** Takes a report of another host. */
    void take(LoadReport report) {
        fleet.host(report.host())
                .filter(host -> host.entry().incarnation() == report.incarnation())
                .ifPresent(host -> {
                    host.hear(System.nanoTime());
                    if (!report.uses().isEmpty() || !usesOfHosts.containsKey(report.host())) {
                        usesOfHosts.put(report.host(), report.uses());
                    }
                    report.cached()
                            .forEach((id, parts) -> fleet.endpoint(id).ifPresent(endpoint -> endpoint.cache(parts)));
                    report.endpoints()
                            .forEach((id, load) ->
                                    fleet.endpoint(id).ifPresent(endpoint -> endpoint.report(report.host(), load)));
                });
    }

    @Override
    public AccountShare of(String account) {
        return shares.computeIfAbsent(account, this::share);
    }

    private AccountShare share(String account) {
        long now = System.nanoTime();
        List<HostHandle> reachable = fleet.hosts().stream()
                .filter(host -> host.isHeard(now, reportNanos))
                .toList();
        AccountUse others = reachable.stream()
                .map(host ->
                        usesOfHosts.getOrDefault(host.entry().name(), Map.of()).getOrDefault(account, AccountUse.NONE))
                .reduce(AccountUse.NONE, AccountUse::plus);
        int hosts = fleet.hosts().size() + 1;
        double own = limiter.demandOf(account);
        double part = LimitShare.of(hosts, reachable.size() + 1, own, own + others.demand());
        return new AccountShare(part, (reachable.size() + 1.0) / hosts, others.level());
    }

    /** Returns whether reports of {@code host} come as they should. */
    public boolean isHeard(HostHandle host) {
        return host.isHeard(System.nanoTime(), reportNanos);
    }

    /** Reads datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                take(LoadReport.decode(ByteBufUtil.getBytes(packet.content())));
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
