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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.toucanlane.edge.fleet.CachedPart;
import org.toucanlane.edge.fleet.EndpointHandle;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.HostHandle;
import org.toucanlane.edge.fleet.HostRecord;
import org.toucanlane.edge.fleet.RemoteLoad;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.share.LimitShare;

/**
 * Sends this host's load to others and takes theirs, as datagrams: what is lost is told anew in the next round.
 *
 * <p>Reports go to the hosts of the region in each round, and to the others in each third, since a region's load matters
 * less from far away. Used on the host's event loop only.
 */
public final class Gossip implements AccountLimiter.Shares {

    /** Time between rounds: a few requests are sent to an endpoint meanwhile. */
    private static final Duration ROUND = Duration.ofMillis(100);

    private static final int ROUNDS_BETWEEN_FAR_REPORTS = 3;

    /** Age at which a report counts no more: several rounds to far hosts, so that single losses do no harm. */
    private static final Duration REPORT_AGE = Duration.ofMillis(1_500);

    /** Endpoints in one datagram, so that it fits into an Ethernet frame. */
    private static final int ENDPOINTS_PER_REPORT = 24;

    /** Accounts in one report: those with the largest demand. */
    private static final int ACCOUNTS_PER_REPORT = 24;

    private final EventLoop loop;
    private final Fleet fleet;
    private final DecisionLog log;
    private final HostRecord self;
    private final Map<String, Map<String, Double>> demandOfHosts = new HashMap<>();
    private final Map<String, Integer> quietRounds = new HashMap<>();
    private final CachedParts cached = new CachedParts(2 * ROUNDS_BETWEEN_FAR_REPORTS + 1);
    private AccountLimiter limiter;
    private Channel channel;
    private long rounds;

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
        boolean far = rounds++ % ROUNDS_BETWEEN_FAR_REPORTS == 0;
        List<HostHandle> receivers = fleet.hosts().stream()
                .filter(host -> far || host.entry().region().equals(self.region()))
                .toList();
        if (!receivers.isEmpty()) {
            reports().forEach(report -> send(report.encode(), receivers));
        }
        cached.nextRound();
        dropStale();
    }

    private List<LoadReport> reports() {
        long now = System.nanoTime();
        Map<String, RemoteLoad> loads = new HashMap<>();
        fleet.endpoints().stream()
                .filter(endpoint ->
                        fleet.regionOf(endpoint.entry().dataCentre()).equals(self.region()))
                .filter(this::isWorthTelling)
                .forEach(endpoint -> loads.put(endpoint.id(), endpoint.ownLoad(now)));
        Map<String, Double> demand = new HashMap<>();
        limiter.demand().entrySet().stream()
                .filter(entry -> entry.getValue() >= 1)
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .limit(ACCOUNTS_PER_REPORT)
                .forEach(entry -> demand.put(entry.getKey(), entry.getValue()));
        List<Map.Entry<String, RemoteLoad>> all = List.copyOf(loads.entrySet());
        int parts = Math.max(1, (all.size() + ENDPOINTS_PER_REPORT - 1) / ENDPOINTS_PER_REPORT);
        return IntStream.range(0, parts)
                .mapToObj(part -> new LoadReport(
                        self.name(),
                        self.incarnation(),
                        part(all, part),
                        part == 0 ? demand : Map.of(),
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
        return quiet <= 2 * ROUNDS_BETWEEN_FAR_REPORTS;
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
                .filter(host -> !host.isHeard(now, REPORT_AGE.toNanos()))
                .filter(host -> demandOfHosts.remove(host.entry().name()) != null)
                .forEach(host -> {
                    log.belief("host_silent", "host", host.entry().name());
                    fleet.endpoints()
                            .forEach(endpoint -> endpoint.report(host.entry().name(), null));
                });
        if (rounds % 100 == 0) {
            quietRounds.keySet().removeIf(id -> fleet.endpoint(id).isEmpty());
        }
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
                    if (!report.demand().isEmpty() || !demandOfHosts.containsKey(report.host())) {
                        demandOfHosts.put(report.host(), report.demand());
                    }
                    report.cached()
                            .forEach((id, parts) -> fleet.endpoint(id).ifPresent(endpoint -> endpoint.cache(parts)));
                    report.endpoints()
                            .forEach((id, load) ->
                                    fleet.endpoint(id).ifPresent(endpoint -> endpoint.report(report.host(), load)));
                });
    }

    @Override
    public double of(String account) {
        double own = limiter.demand().getOrDefault(account, 0.0);
        long now = System.nanoTime();
        double reachableDemand = own;
        int reachable = 1;
        for (HostHandle host : fleet.hosts()) {
            if (host.isHeard(now, REPORT_AGE.toNanos())) {
                reachable++;
                reachableDemand += demandOfHosts
                        .getOrDefault(host.entry().name(), Map.of())
                        .getOrDefault(account, 0.0);
            }
        }
        return LimitShare.of(fleet.hosts().size() + 1, reachable, own, reachableDemand);
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
