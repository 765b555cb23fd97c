package org.toucanlane.edge.host;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiFunction;
import org.toucanlane.coordination.store.AsyncStore;
import org.toucanlane.coordination.store.StoreTransaction;
import org.toucanlane.domain.serving.CallerLimits;
import org.toucanlane.domain.serving.ServingConfiguration;
import org.toucanlane.edge.call.CallDialect;
import org.toucanlane.edge.call.CallService;
import org.toucanlane.edge.fleet.Fleet;
import org.toucanlane.edge.fleet.FleetStoreFormat;
import org.toucanlane.edge.gossip.Gossip;
import org.toucanlane.edge.http.HttpServer;
import org.toucanlane.edge.http.RequestHandler;
import org.toucanlane.edge.http.RequestIntake;
import org.toucanlane.edge.http.ResponseFault;
import org.toucanlane.edge.http.ResponseFaultListener;
import org.toucanlane.edge.http.ServerMemory;
import org.toucanlane.edge.limit.AccountLimiter;
import org.toucanlane.edge.schedule.AlignedSchedule;
import org.toucanlane.edge.state.ChangeExchange;
import org.toucanlane.edge.state.FreshnessLease;
import org.toucanlane.edge.state.HostLease;
import org.toucanlane.edge.state.StoreListener;
import org.toucanlane.edge.state.StoreMirror;
import org.toucanlane.edge.telemetry.CallMetrics;
import org.toucanlane.edge.telemetry.DecisionLog;
import org.toucanlane.policy.admission.ChannelLimit;
import org.toucanlane.policy.overload.LoopClock;
import org.toucanlane.policy.overload.SilenceAllowance;
import org.toucanlane.policy.quarantine.SegmentQuarantine;

/**
 * A host of the gateway, which serves callers on a single event loop.
 *
 * <p>A host has about one core, so a single event loop does all the work and the state needs no locks. {@link #stop}
 * may be called from any thread; everything else is confined to the event loop or to the startup thread.
 */
public final class EdgeHost implements AutoCloseable {

    /**
     * Fraction of the key revocation time for which a response of the store stays valid; the rest covers propagation
     * delay.
     */
    private static final double VALIDITY_FRACTION = 0.62;

    /**
     * Watches per validity period of a store response. Several are needed because other hosts may rely on a response
     * that is two watches old.
     */
    private static final int WATCHES_PER_VALIDITY = 4;

    /** Time after which a host's record expires without renewal; allows for two lost renewals. */
    private static final Duration LEASE_TTL = Duration.ofMillis(2_500);

    /** Interval of the checks for clock jumps, idle connections and silent endpoints. */
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(200);

    /** With a quiet period of zero, Netty may end an event loop without closing its connections. */
    private static final Duration SHUTDOWN_QUIET_PERIOD = Duration.ofMillis(50);

    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(1);

    /** Fraction of the fleet-wide retry budget that hosts may use; the rest covers other kinds of retries. */
    private static final double RETRY_BUDGET_FRACTION = 0.75;

    /** Number of hosts that the extra retries are divided among, which leaves room for hosts to be added. */
    private static final int RETRY_BUDGET_HOSTS = 16;

    /** Part of the grace period that is reserved for the process to exit. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

    /** Minimum time for which a draining host still answers callers with open connections to it. */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(2_500);

    /**
     * Time for which a draining host still accepts requests. Callers that cache a directory response for three times
     * its TTL have resolved again by then, and the rest of the grace period is long enough for most responses.
     */
    private static final Duration DRAIN_ACCEPT_TIME = Duration.ofMillis(2_800);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final HostSettings settings;
    private final EventLoop loop;
    private final MultiThreadIoEventLoopGroup group;
    private final DecisionLog log;
    private final CallMetrics metrics = new CallMetrics();
    private final Fleet fleet;
    private final FreshnessLease freshness;
    private final StoreMirror mirror;
    private final HostLease lease;
    private final SegmentQuarantine quarantine;
    private final Gossip gossip;
    private final AccountLimiter limiter;
    private final CallService calls;
    private final HostDirectory directory;
    private final LoopMonitor loopMonitor;
    private final RequestIntake intake;
    private final List<HttpServer> servers = new CopyOnWriteArrayList<>();
    private final ServerMemory serverMemory;
    private HttpServer callerServer;
    private HttpServer peerServer;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private volatile boolean draining;

    private EdgeHost(
            HostSettings settings,
            MultiThreadIoEventLoopGroup group,
            LoopClock clock,
            ChannelLimit channels,
            DecisionLog log,
            CallDialect dialect,
            BiFunction<EventLoop, ResponseFaultListener, AsyncStore> stores,
            FleetStoreFormat documents) {
        this.settings = settings;
        this.group = group;
        this.serverMemory = ServerMemory.create(channels);
        this.loop = group.next();
        this.log = log;
        this.loopMonitor = new LoopMonitor(clock, log, metrics);
        this.intake = RequestIntake.of(clock);
        String name = settings.self().name();
        this.fleet = new Fleet(loop, log, name, settings.regionOfDataCentre());
        AsyncStore store = stores.apply(loop, fleet.responseFaults().forServer("store"));
        Duration validity =
                Duration.ofMillis((long) (settings.keyRevocationTime().toMillis() * VALIDITY_FRACTION));
        this.freshness = new FreshnessLease(System::nanoTime, System::currentTimeMillis, validity);
        this.mirror = new StoreMirror(
                store,
                loop,
                freshness,
                log,
                new MirrorListener(documents),
                documents.eraKey(),
                validity.dividedBy(WATCHES_PER_VALIDITY));
        this.lease = new HostLease(
                store,
                loop,
                log,
                documents.hostKey(name),
                settings.self().encode(),
                LEASE_TTL,
                () -> mirror
                        .missingEraRecord()
                        .map(missing -> new StoreTransaction.Put(documents.eraKey(), missing.encode(), 0))
                        .stream()
                        .toList());
        this.quarantine = new SegmentQuarantine(name);
        this.gossip = new Gossip(loop, fleet, log, settings.self(), mirror, quarantine, new SilenceAllowance(clock));
        this.limiter = new AccountLimiter(System::nanoTime, gossip);
        int maxSavedRetries = Math.max(1, (int) (settings.extraRetries() * RETRY_BUDGET_FRACTION / RETRY_BUDGET_HOSTS));
        this.calls = CallService.create(
                loop,
                dialect,
                new CallService.HostState(fleet, freshness, limiter, quarantine, gossip::isAlive),
                log,
                metrics,
                new CallService.Location(name, settings.self().region()),
                new CallService.RetryLimits(settings.retryRatio() * RETRY_BUDGET_FRACTION, maxSavedRetries),
                gossip::announceCached);
        this.directory = new HostDirectory(fleet, settings.self(), gossip::isPresumedAlive);
    }

    /**
     * Starts a host.
     *
     * @param stores creates the store client for the host's event loop; it reports the faults of responses to its listener
     * @throws IOException if an address can't be bound
     */
    public static EdgeHost start(
            HostSettings settings,
            DecisionLog log,
            CallDialect dialect,
            BiFunction<EventLoop, ResponseFaultListener, AsyncStore> stores,
            FleetStoreFormat documents)
            throws IOException {
        LoopClock clock = new LoopClock(System.nanoTime());
        ChannelLimit channels = ChannelLimit.of(settings.maxChannels());
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, MeasuredIoHandler.factory(clock, channels));
        EdgeHost host = new EdgeHost(settings, group, clock, channels, log, dialect, stores, documents);
        host.startServing();
        return host;
    }

    private void startServing() throws IOException {
        callerServer = listen(settings.callerAddress(), calls.callerHandler());
        InetSocketAddress peerAddress =
                new InetSocketAddress(settings.self().address(), settings.self().hopPort());
        peerServer = listen(
                peerAddress,
                ChangeExchange.handler(mirror::changesSince, calls.hostHandler()),
                HttpServer.HOST_WINDOW_BYTES);
        mirror.setPeers(new ChangeExchange(loop, gossip::watcher));
        gossip.start(limiter);
        registerGauges();
        freshness.onClockJump(() -> {
            log.stateChange("clocks_disagree", "action", "re-reading the store");
            gossip.clearSentReports();
            loop.execute(mirror::restart);
        });
        fleet.onConfiguration(next -> {
            limiter.configure(next);
            next.shortestObjective().ifPresent(intake::setShortestObjective);
            callerServer.setLimits(next.callerLimits());
            peerServer.setLimits(peerLimits(next.callerLimits()));
        });
        loop.execute(mirror::start);
        AlignedSchedule.repeat(loop, log.logFailures("maintenance", this::runMaintenance), MAINTENANCE_INTERVAL);
        log.stateChange(
                "host_started",
                "host",
                settings.self().name(),
                "region",
                settings.self().region(),
                "incarnation",
                settings.self().incarnation());
    }

    /** Returns the limits for requests of other hosts, which add their own headers to those of the caller. */
    private static CallerLimits peerLimits(CallerLimits limits) {
        return new CallerLimits(
                2 * limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeout(), limits.idleTimeout());
    }

    private void runMaintenance() {
        freshness.checkClocks();
        loopMonitor.logStalls(System.nanoTime());
        fleet.closeExpiredConnections();
        calls.retryStalledCalls();
    }

    /**
     * Starts another HTTP server on the host's event loop.
     *
     * @throws IOException if it can't be bound
     */
    public HttpServer listen(InetSocketAddress address, RequestHandler handler) throws IOException {
        return listen(address, handler, HttpServer.CALLER_WINDOW_BYTES);
    }

    private HttpServer listen(InetSocketAddress address, RequestHandler handler, int windowBytes) throws IOException {
        HttpServer server = HttpServer.bind(address, group, handler, serverMemory, intake, windowBytes);
        servers.add(server);
        return server;
    }

    /**
     * Serves this host's metrics on a separate address.
     *
     * @throws IOException if it can't be bound
     */
    public HttpServer listenForScrapes(InetSocketAddress address) throws IOException {
        return listen(address, new MetricsHandler(metrics));
    }

    private void registerGauges() {
        loopMonitor.registerGauges(intake);
        metrics.registerGauge(
                "toucanlane.configuration.version",
                "version of the configuration in force, 0 before the first",
                () -> fleet.configuration().map(ServingConfiguration::version).orElse(0L));
        metrics.registerGauge(
                "toucanlane.proof.age.seconds",
                "time since the store is known to hold nothing newer, negative if that isn't known",
                () -> freshness.ageMillis() / MILLIS_PER_SECOND);
        metrics.registerGauge(
                "toucanlane.store.era", "era of the store, negative if the store reports none", mirror::era);
        metrics.registerGauge(
                "toucanlane.hosts",
                "other hosts that hold a lease",
                () -> fleet.hosts().size());
        metrics.registerGauge(
                "toucanlane.hosts.heard",
                "other hosts whose reports come as they should",
                () -> fleet.hosts().stream().filter(gossip::isAlive).count());
        metrics.registerGauge(
                "toucanlane.endpoints",
                "endpoints that are registered",
                () -> fleet.endpoints().size());
        metrics.registerGauge(
                "toucanlane.endpoints.uneven",
                "endpoints that are lastingly faster or slower than the median of their service",
                () -> fleet.endpoints().stream()
                        .filter(endpoint -> endpoint.speed().isLasting())
                        .count());
        metrics.registerGauge("toucanlane.endpoints.usable", "endpoints that this host would send requests to", () -> {
            long now = System.nanoTime();
            return fleet.endpoints().stream()
                    .filter(endpoint -> endpoint.isUsable(now))
                    .count();
        });
        metrics.registerGauge(
                "toucanlane.endpoints.limited",
                "endpoints that limit the rate of requests",
                () -> fleet.endpoints().stream()
                        .filter(endpoint -> endpoint.requestLimit().named().isPresent())
                        .count());
        Arrays.stream(ResponseFault.values())
                .forEach(fault -> metrics.registerCounter(
                        "toucanlane.responses.rejected",
                        "fault",
                        fault.code(),
                        () -> fleet.responseFaults().count(fault)));
        metrics.registerGauge(
                "toucanlane.segments.quarantined",
                "prompt segments that are kept from endpoints because endpoints crashed on them",
                () -> quarantine.quarantined(System.nanoTime()).size());
        registerConnectionMetrics();
    }

    private void registerConnectionMetrics() {
        metrics.registerCounter(
                "toucanlane.connections.closed",
                "reason",
                "oldest_body",
                () -> servers.stream().mapToLong(HttpServer::bodiesRejected).sum());
        metrics.registerCounter(
                "toucanlane.connections.closed",
                "reason",
                "unread_responses",
                () -> servers.stream().mapToLong(HttpServer::unreadClosed).sum());
        metrics.registerCounter(
                "toucanlane.connections.closed",
                "reason",
                "heads",
                () -> servers.stream().mapToLong(HttpServer::headsClosed).sum());
        metrics.registerCounter(
                "toucanlane.connections.closed",
                "reason",
                "sent_ahead",
                () -> servers.stream().mapToLong(HttpServer::sentAheadClosed).sum());
        metrics.registerCounter("toucanlane.connections.closed", "reason", "too_many", serverMemory::connectionsClosed);
        metrics.registerGauge(
                "toucanlane.connections.busy",
                "connections of callers and hosts with a request",
                () -> callerServer.busyConnections() + peerServer.busyConnections());
    }

    /** Returns whether callers may be sent to this host: it has a configuration and is not draining. */
    public boolean isReady() {
        return !draining && fleet.configuration().isPresent();
    }

    /** Returns the directory of hosts. */
    public HostDirectory directory() {
        return directory;
    }

    /**
     * Shuts down gracefully: the directory stops listing this host at once, running requests complete, and persistent
     * connections are closed with their next response. Blocks until no request is running or until shortly before the
     * end of the grace period; no request is read after that.
     */
    public void stop() {
        if (stopping.getAndSet(true)) {
            return;
        }
        log.stateChange("host_stopping", "host", settings.self().name());
        Duration maxTime = settings.gracePeriod().minus(EXIT_MARGIN);
        HostDrain drain = new HostDrain(loop, servers, MIN_DRAIN_TIME, maxTime);
        loop.execute(() -> {
            directory.markDraining();
            lease.end();
            callerServer.startDraining();
            calls.beginGracePeriod(maxTime);
            draining = true;
            loop.schedule(
                    () -> {
                        calls.refuseNewRequests();
                        intake.handleAll(loop);
                    },
                    DRAIN_ACCEPT_TIME.toMillis(),
                    TimeUnit.MILLISECONDS);
            drain.start();
        });
        try {
            HostDrain.Result result = drain.result().get(settings.gracePeriod().toMillis(), TimeUnit.MILLISECONDS);
            log.stateChange(
                    "host_stopped",
                    "host",
                    settings.self().name(),
                    "drained",
                    result.aborted() == 0,
                    "after_ms",
                    result.elapsed().toMillis(),
                    "aborted",
                    result.aborted(),
                    "unsent",
                    result.unsent());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            logFailedDrain(e);
        } catch (ExecutionException | TimeoutException e) {
            logFailedDrain(e);
        }
    }

    private void logFailedDrain(Exception cause) {
        log.stateChange("host_not_drained", "host", settings.self().name(), "cause", String.valueOf(cause));
    }

    /** Shuts down immediately and aborts running requests. */
    @Override
    public void close() {
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD.toMillis(), SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    /** Applies changes of the store to the fleet. */
    private final class MirrorListener implements StoreListener {

        private final FleetStoreFormat documents;
        private boolean reachedBefore;
        private boolean leaseOpened;
        private long leaseEra;

        private MirrorListener(FleetStoreFormat documents) {
            this.documents = documents;
        }

        @Override
        public void changed(String key, Optional<byte[]> value) {
            documents.read(key, value, fleet);
        }

        @Override
        public void synced() {
            if (!leaseOpened || leaseEra != mirror.era()) {
                leaseOpened = true;
                leaseEra = mirror.era();
                lease.open();
            }
        }

        @Override
        public void storeRestored() {
            fleet.storeRestored(System.nanoTime());
        }

        @Override
        public void reachabilityChanged(boolean nowReachable) {
            if (nowReachable && reachedBefore) {
                fleet.storeRecovered(System.nanoTime());
            }
            reachedBefore = true;
        }

        @Override
        public void storeRecoveredElsewhere(long time) {
            fleet.storeRecovered(time);
        }
    }
}
