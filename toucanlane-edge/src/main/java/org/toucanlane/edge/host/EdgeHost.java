package org.toucanlane.edge.host;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.edge.call.CallDialect;
import org.toucanlane.edge.call.CallService;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.FleetDocuments;
import org.toucanlane.edge.gossip.Gossip;
import org.toucanlane.edge.http.HttpServer;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.state.Freshness;
import org.toucanlane.edge.state.HostLease;
import org.toucanlane.edge.state.StoreMirror;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;

/**
 * One host: everything that serves callers, on a single event loop.
 *
 * <p>A host has about one core, so one loop does all its work and its state needs no locks. {@link #stop} may be called
 * on any thread; all else belongs to the loop or to the start.
 */
public final class EdgeHost implements AutoCloseable {

    /** Part of the time to revoke a key for which an answer of the store is relied on; the rest covers its delay. */
    private static final double PROOF_PART = 0.62;

    /** Watches that fit into the time for which an answer is relied on: others may rely on one that is two old. */
    private static final int WATCHES_PER_PROOF = 4;

    /** How long a host's record outlives its process: two lost renewals. */
    private static final Duration LEASE_TIME = Duration.ofMillis(2_500);

    /** How often the clocks are compared and idle connections are closed. */
    private static final Duration HOUSEKEEPING = Duration.ofMillis(200);

    /** Part of the fleet's bound on repeats that is given out; the rest covers repeats of other kinds. */
    private static final double REPEAT_PART = 0.75;

    /** Hosts that the extra repeats are divided between at least, so that hosts may be added. */
    private static final int MOST_HOSTS = 16;

    /** Time that is left of the grace period for the process to end. */
    private static final Duration END_MARGIN = Duration.ofMillis(700);

    /** Shortest time for which a leaving host goes on answering callers that still hold connections to it. */
    private static final Duration LEAST_DRAIN = Duration.ofMillis(2_500);

    /**
     * Time for which a leaving host still takes requests: callers that keep an answer of the directory three times as long
     * as told have asked again by then, and the rest of the grace period is enough for most answers.
     */
    private static final Duration LAST_TAKEN = Duration.ofMillis(2_800);

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final Duration DRAIN_POLL = Duration.ofMillis(50);

    private final HostSettings settings;
    private final EventLoop loop;
    private final MultiThreadIoEventLoopGroup group;
    private final DecisionLog log;
    private final CallMetrics metrics = new CallMetrics();
    private final Fleet fleet;
    private final Freshness freshness;
    private final StoreMirror mirror;
    private final HostLease lease;
    private final Gossip gossip;
    private final AccountLimiter limiter;
    private final CallService calls;
    private final HostDirectory directory;
    private HttpServer callerServer;
    private HttpServer hopServer;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean leaving;

    private EdgeHost(
            HostSettings settings,
            MultiThreadIoEventLoopGroup group,
            DecisionLog log,
            CallDialect dialect,
            Function<EventLoop, AsyncStore> stores,
            FleetDocuments documents) {
        this.settings = settings;
        this.group = group;
        this.loop = group.next();
        this.log = log;
        String name = settings.self().name();
        AsyncStore store = stores.apply(loop);
        this.fleet = new Fleet(loop, log, name, settings.regionOfDataCentre());
        Duration validity = Duration.ofMillis((long) (settings.keyRevocation().toMillis() * PROOF_PART));
        this.freshness = new Freshness(System::nanoTime, System::currentTimeMillis, validity);
        this.mirror = new StoreMirror(
                store, loop, freshness, log, new MirrorListener(documents), validity.dividedBy(WATCHES_PER_PROOF));
        this.lease = new HostLease(
                store, loop, log, documents.hostKey(name), settings.self().encode(), LEASE_TIME);
        this.gossip = new Gossip(loop, fleet, log, settings.self(), mirror);
        this.limiter = new AccountLimiter(System::nanoTime, gossip);
        int saved = Math.max(1, (int) (settings.repeatExtra() * REPEAT_PART / MOST_HOSTS));
        this.calls = CallService.create(
                loop,
                dialect,
                new CallService.View(fleet, freshness, limiter, gossip::isHeard),
                log,
                metrics,
                new CallService.Place(name, settings.self().region()),
                new CallService.RepeatBound(settings.repeatRatio() * REPEAT_PART, saved),
                gossip::cached);
        this.directory = new HostDirectory(fleet, settings.self(), gossip::isThere);
    }

    /**
     * Starts a host.
     *
     * @param stores makes the client of the store for the host's event loop
     * @throws IOException if an address can't be bound
     */
    public static EdgeHost start(
            HostSettings settings,
            DecisionLog log,
            CallDialect dialect,
            Function<EventLoop, AsyncStore> stores,
            FleetDocuments documents)
            throws IOException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EdgeHost host = new EdgeHost(settings, group, log, dialect, stores, documents);
        host.begin();
        return host;
    }

    private void begin() throws IOException {
        callerServer = HttpServer.open(settings.callers(), group, calls.forCallers());
        InetSocketAddress hop =
                new InetSocketAddress(settings.self().address(), settings.self().hopPort());
        hopServer = HttpServer.open(hop, group, calls.forHosts());
        gossip.start(limiter);
        addGauges();
        freshness.onDoubt(() -> {
            log.belief("clocks_disagree", "action", "asking the store anew");
            gossip.forgetSent();
            loop.execute(mirror::restart);
        });
        fleet.onConfiguration(next -> {
            limiter.configure(next);
            callerServer.limit(next.callerLimits());
            hopServer.limit(hopLimits(next.callerLimits()));
        });
        loop.execute(() -> {
            mirror.start();
            lease.start();
        });
        loop.scheduleAtFixedRate(
                this::keepHouse, HOUSEKEEPING.toMillis(), HOUSEKEEPING.toMillis(), TimeUnit.MILLISECONDS);
        log.belief(
                "host_started",
                "host",
                settings.self().name(),
                "region",
                settings.self().region(),
                "incarnation",
                settings.self().incarnation());
    }

    /** Hosts add headers of their own to a caller's, and keep connections longer. */
    private static CallerLimits hopLimits(CallerLimits limits) {
        return new CallerLimits(
                2 * limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeout(), limits.idleTimeout());
    }

    private void keepHouse() {
        freshness.checkClocks();
        fleet.closeExpiredConnections();
        calls.checkSilence();
    }

    /**
     * Listens on one more address, with the host's event loop.
     *
     * @throws IOException if it can't be bound
     */
    public HttpServer listen(InetSocketAddress address, RequestHandler handler) throws IOException {
        return HttpServer.open(address, group, handler);
    }

    /**
     * Serves this host's metrics on one more address.
     *
     * @throws IOException if it can't be bound
     */
    public HttpServer listenForMetrics(InetSocketAddress address) throws IOException {
        return listen(address, new MetricsHandler(metrics));
    }

    private void addGauges() {
        metrics.gauge(
                "toucanlane.configuration.version",
                "version of the configuration in force, 0 before the first",
                () -> fleet.configuration().map(ServingConfiguration::version).orElse(0L));
        metrics.gauge(
                "toucanlane.proof.age.seconds",
                "time since the store is known to hold nothing newer, negative if that isn't known",
                () -> freshness.ageMillis() / MILLIS_PER_SECOND);
        metrics.gauge(
                "toucanlane.hosts",
                "other hosts that hold a lease",
                () -> fleet.hosts().size());
        metrics.gauge(
                "toucanlane.hosts.heard",
                "other hosts whose reports come as they should",
                () -> fleet.hosts().stream().filter(gossip::isHeard).count());
        metrics.gauge(
                "toucanlane.endpoints",
                "endpoints that are registered",
                () -> fleet.endpoints().size());
        metrics.gauge("toucanlane.endpoints.usable", "endpoints that this host would send requests to", () -> {
            long now = System.nanoTime();
            return fleet.endpoints().stream()
                    .filter(endpoint -> endpoint.isUsable(now))
                    .count();
        });
        metrics.gauge(
                "toucanlane.connections.busy",
                "connections of callers and hosts with a request",
                () -> callerServer.busyConnections() + hopServer.busyConnections());
    }

    /** Returns whether callers should be sent here: a configuration is in force, and the host isn't leaving. */
    public boolean isReady() {
        return !leaving && fleet.configuration().isPresent();
    }

    /** Returns the directory of hosts. */
    public HostDirectory directory() {
        return directory;
    }

    /**
     * Stops gracefully: callers are sent elsewhere at once, running requests end, and connections that callers keep are
     * closed with their next answers. Returns when nothing runs any more, or shortly before the grace period ends.
     */
    public void stop() {
        if (stopping.getAndSet(true)) {
            return;
        }
        long start = System.nanoTime();
        log.belief("host_stopping", "host", settings.self().name());
        loop.execute(() -> {
            directory.leave();
            lease.end();
            callerServer.leave();
            leaving = true;
            loop.schedule(calls::close, LAST_TAKEN.toMillis(), TimeUnit.MILLISECONDS);
        });
        long most = settings.gracePeriod().minus(END_MARGIN).toNanos();
        boolean done = false;
        while (!done && System.nanoTime() - start < most) {
            pause();
            done = System.nanoTime() - start > LEAST_DRAIN.toNanos() && busyConnections() == 0;
        }
        log.belief(
                "host_stopped",
                "host",
                settings.self().name(),
                "drained",
                done,
                "after_ms",
                (System.nanoTime() - start) / 1_000_000);
    }

    /** Ends everything at once; requests that run are cut. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private long busyConnections() {
        CountDownLatch answered = new CountDownLatch(1);
        long[] busy = {0};
        loop.execute(() -> {
            busy[0] = callerServer.busyConnections() + hopServer.busyConnections();
            answered.countDown();
        });
        try {
            answered.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return busy[0];
    }

    private static void pause() {
        try {
            Thread.sleep(DRAIN_POLL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Passes the store's contents on to the fleet. */
    private final class MirrorListener implements StoreMirror.Listener {

        private final FleetDocuments documents;
        private boolean wasReachable;

        private MirrorListener(FleetDocuments documents) {
            this.documents = documents;
        }

        @Override
        public void changed(String key, Optional<byte[]> value, long revision) {
            documents.read(key, value, fleet);
        }

        @Override
        public void synced() {
            // Each key has been told by itself.
        }

        @Override
        public void reachable(boolean nowReachable) {
            if (nowReachable && wasReachable) {
                fleet.storeReturned(System.nanoTime());
            }
            wasReachable = true;
        }

        @Override
        public void returnedElsewhere(long time) {
            fleet.storeReturned(time);
        }
    }
}
